//! TCP connections that notice a silent peer.

use socket2::{SockRef, TcpKeepalive};
use std::{io, net::SocketAddr, time::Duration};
use tokio::{net::TcpStream, time::timeout};

/// For a connection to come about.
const CONNECT: Duration = Duration::from_millis(1_000);
/// Sent bytes that nobody acknowledges end the connection after this long.
const UNACKNOWLEDGED: Duration = Duration::from_millis(2_000);
/// A connection at rest is probed after this long, and again as often.
const KEEPALIVE: Duration = Duration::from_secs(2);
/// Probes without an answer that end a connection.
const KEEPALIVE_PROBES: u32 = 2;

/// A link between hosts at rest is probed after this long, and again as often: a host has a link to each
/// other, and one that is used shows a silent peer by what it does not acknowledge.
const LINK_KEEPALIVE: Duration = Duration::from_secs(10);

/// Connects to `address`.
///
/// # Errors
/// If nobody listens there or nobody answers in time.
pub async fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let stream = timeout(CONNECT, TcpStream::connect(address)).await??;
    set_peer_options(&stream)?;
    Ok(stream)
}

/// Sets what makes a silent peer known, and sends small pieces at once.
///
/// # Errors
/// If the socket takes no such options.
pub fn set_peer_options(stream: &TcpStream) -> io::Result<()> {
    watch(stream, KEEPALIVE)
}

/// The same for a link between hosts.
///
/// # Errors
/// If the socket takes no such options.
pub fn set_link_options(stream: &TcpStream) -> io::Result<()> {
    watch(stream, LINK_KEEPALIVE)
}

fn watch(stream: &TcpStream, rest: Duration) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED))?;
    let keepalive =
        TcpKeepalive::new().with_time(rest).with_interval(rest).with_retries(KEEPALIVE_PROBES);
    socket.set_tcp_keepalive(&keepalive)
}
