//! TCP connections that detect an unresponsive peer.

use socket2::{SockRef, TcpKeepalive};
use std::{io, net::SocketAddr, time::Duration};
use tokio::{net::TcpStream, time::timeout};

const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Time after which a connection with unacknowledged bytes is closed.
const USER_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Idle time before the first keep-alive probe, and interval between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(2);
/// Number of unanswered probes after which a connection is closed.
const KEEPALIVE_PROBES: u32 = 2;

/// Keep-alive interval of a link between hosts. It is longer because a host has a link to each
/// other host, and a link in use detects an unresponsive peer by its unacknowledged bytes.
const LINK_KEEPALIVE_INTERVAL: Duration = Duration::from_secs(10);

/// Connects to `address`.
///
/// # Errors
/// If the connection is refused or times out.
pub async fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await??;
    set_peer_options(&stream)?;
    Ok(stream)
}

/// Sets the timeouts that detect an unresponsive peer, and disables Nagle's algorithm.
///
/// # Errors
/// If a socket option can't be set.
pub fn set_peer_options(stream: &TcpStream) -> io::Result<()> {
    set_options(stream, KEEPALIVE_INTERVAL)
}

/// Sets the same options for a link between hosts, with a longer keep-alive interval.
///
/// # Errors
/// If a socket option can't be set.
pub fn set_link_options(stream: &TcpStream) -> io::Result<()> {
    set_options(stream, LINK_KEEPALIVE_INTERVAL)
}

fn set_options(stream: &TcpStream, interval: Duration) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))?;
    let keepalive = TcpKeepalive::new()
        .with_time(interval)
        .with_interval(interval)
        .with_retries(KEEPALIVE_PROBES);
    socket.set_tcp_keepalive(&keepalive)
}
