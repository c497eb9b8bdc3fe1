//! TCP connections that detect an unresponsive peer.

use socket2::{SockRef, TcpKeepalive};
use std::{io, net::SocketAddr, time::Duration};
use tokio::{net::TcpStream, time::timeout};

/// Default timeout of a connection attempt.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Idle time before the first keep-alive probe, and interval between probes.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(1);
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Time after which a connection with unacknowledged bytes is closed. Together with keep-alive it
/// also ends the probing, whatever the number of probes: the first and the last probe before it must be
/// further apart than a short silence of the peer.
const USER_TIMEOUT: Duration = Duration::from_secs(4);

/// Time after which the sending end of a link closes it with unacknowledged bytes. It sends no
/// keep-alive probes, which this timeout would cut short.
const LINK_USER_TIMEOUT: Duration = Duration::from_secs(2);
/// Keep-alive of the receiving end of a link, which sends nothing and so needs no user timeout. A
/// host has links from all other hosts, so the idle time is long.
const LINK_KEEPALIVE_IDLE: Duration = Duration::from_secs(10);
const LINK_KEEPALIVE_INTERVAL: Duration = Duration::from_secs(3);
const LINK_KEEPALIVE_PROBES: u32 = 3;

/// Connects to `address`.
///
/// # Errors
/// If the connection is refused or times out.
pub async fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    connect_within(address, CONNECT_TIMEOUT).await
}

/// Connects to `address` within `limit`. The connection is reset when it is dropped ([`reset_on_close`]).
///
/// # Errors
/// If the connection is refused or times out.
pub async fn connect_within(address: SocketAddr, limit: Duration) -> io::Result<TcpStream> {
    let stream = timeout(limit, TcpStream::connect(address)).await??;
    set_peer_options(&stream)?;
    reset_on_close(&stream)?;
    Ok(stream)
}

/// Has the connection reset when it is closed or the process ends. What was written and is not acknowledged would be sent
/// again after a plain close, for as long as the user timeout: a request that was given up could still arrive.
///
/// # Errors
/// If the socket option can't be set.
pub fn reset_on_close(stream: &TcpStream) -> io::Result<()> {
    // With a linger time of zero, closing a connection sends a reset.
    SockRef::from(stream).set_linger(Some(Duration::ZERO))
}

/// Sets the timeouts that detect an unresponsive peer, and disables Nagle's algorithm.
///
/// # Errors
/// If a socket option can't be set.
pub fn set_peer_options(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))?;
    let keepalive = TcpKeepalive::new().with_time(KEEPALIVE_IDLE).with_interval(KEEPALIVE_INTERVAL);
    socket.set_tcp_keepalive(&keepalive)
}

/// Bounds how long what is sent on the connection may be on its way: the system gives unacknowledged bytes up after
/// `life`, and at once when the connection is closed or the process ends, whichever comes first.
///
/// # Errors
/// If a socket option can't be set.
pub fn bound_life(stream: &TcpStream, life: Duration) -> io::Result<()> {
    reset_on_close(stream)?;
    SockRef::from(stream).set_tcp_user_timeout(Some(life))
}

/// Sets the options of the sending end of a link between hosts.
///
/// # Errors
/// If a socket option can't be set.
pub fn set_link_options(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    SockRef::from(stream).set_tcp_user_timeout(Some(LINK_USER_TIMEOUT))
}

/// Sets the options of the receiving end of a link between hosts.
///
/// # Errors
/// If a socket option can't be set.
pub fn set_accepted_link_options(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let keepalive = TcpKeepalive::new()
        .with_time(LINK_KEEPALIVE_IDLE)
        .with_interval(LINK_KEEPALIVE_INTERVAL)
        .with_retries(LINK_KEEPALIVE_PROBES);
    SockRef::from(stream).set_tcp_keepalive(&keepalive)
}
