//! TCP connections that detect an unresponsive peer.

use socket2::{SockRef, TcpKeepalive};
use std::{io, net::SocketAddr, time::Duration};
use tokio::{
    net::{TcpSocket, TcpStream},
    time::timeout,
};

/// Default timeout of a connection attempt.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Idle time before the first keep-alive probe, and interval between probes.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(1);
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Time after which a connection with unacknowledged bytes is closed. Together with keep-alive it
/// also ends the probing, whatever the number of probes: the first and the last probe before it must be
/// further apart than a short silence of the peer.
const USER_TIMEOUT: Duration = Duration::from_secs(4);

/// Size of the system's receive buffer of a connection to an upstream. The system takes up to twice as much.
const UPSTREAM_RECEIVE_BYTES: usize = 16 << 10;
/// Size of the system's send buffer of a connection that carries callers' requests. The system takes up to twice as much.
const SEND_BYTES: usize = 32 << 10;
/// Maximum size of a segment of such a connection. Segments of loopback are as large as the buffers, which would make each
/// side wait for the other's timers.
const MAX_SEGMENT_BYTES: u32 = 8 << 10;

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

/// Connects to `address` like [`connect_within`], with small buffers ([`bound_buffers`]).
///
/// # Errors
/// If the connection is refused or times out.
pub async fn connect_bounded(address: SocketAddr, limit: Duration) -> io::Result<TcpStream> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
    // Before the connection is opened, since the peer may use the window that it is told first.
    bound_buffers(&socket, UPSTREAM_RECEIVE_BYTES);
    let stream = timeout(limit, socket.connect(address)).await??;
    set_peer_options(&stream)?;
    reset_on_close(&stream)?;
    Ok(stream)
}

/// Bounds what the system holds of a connection that carries callers' requests: bytes that are not read, up to
/// `receive_bytes`, and bytes that are not acknowledged. By default it enlarges both to megabytes where one side is slower
/// than the other.
pub fn bound_buffers<'a>(socket: impl Into<SockRef<'a>>, receive_bytes: usize) {
    let socket = socket.into();
    let bounded = socket
        .set_recv_buffer_size(receive_bytes)
        .and_then(|()| socket.set_send_buffer_size(SEND_BYTES));
    if let Err(error) = bounded {
        log::warn!("event=buffers_unbounded error=\"{error}\"");
    }
    if let Err(error) = socket.set_tcp_mss(MAX_SEGMENT_BYTES) {
        log::debug!("event=segments_unbounded error=\"{error}\"");
    }
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
