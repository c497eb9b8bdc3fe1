//! Tests of the socket options by which the system detects a peer that stops without a reset.

use socket2::SockRef;
use std::{io, time::Duration};
use tokio::net::{TcpListener, TcpStream};
use vanetally_link::socket::{set_accepted_link_options, set_link_options, set_peer_options};

/// A peer that is silent for this long is not dead.
const SHORT_SILENCE: Duration = Duration::from_millis(1_500);
/// Maximum time that sent bytes may stay unacknowledged, and that a dead peer of a connection in use
/// stays unnoticed.
const MAX_SILENCE: Duration = Duration::from_secs(4);
/// The same for the receiving end of an idle link.
const MAX_IDLE_SILENCE: Duration = Duration::from_secs(20);

/// Reads the options back: loopback acknowledges all bytes, so it can't simulate a silent peer.
async fn with_options(set_options: fn(&TcpStream) -> io::Result<()>) -> io::Result<TcpStream> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let stream = TcpStream::connect(listener.local_addr()?).await?;
    set_options(&stream)?;
    assert!(stream.nodelay()?);
    Ok(stream)
}

/// When the kernel probes an idle connection to a peer that acknowledges nothing, and when it closes it.
struct Probing {
    /// From the first probe to the last one: a silence that is shorter loses no connection.
    span: Duration,
    closed: Duration,
}

/// Probing ends when a probe is due after the user timeout, or, without one, after their number.
fn probing(socket: &SockRef<'_>) -> io::Result<Probing> {
    let (first, interval) = (socket.tcp_keepalive_time()?, socket.tcp_keepalive_interval()?);
    let user_timeout = socket.tcp_user_timeout()?.filter(|timeout| !timeout.is_zero());
    let limit = match user_timeout {
        Some(timeout) => timeout,
        None => first + interval * socket.tcp_keepalive_retries()?,
    };
    let mut closed = first + interval;
    while closed < limit {
        closed += interval;
    }
    Ok(Probing { span: closed - interval - first, closed })
}

/// A connection to an upstream, a caller or the store survives a peer that is silent for a second.
#[tokio::test]
async fn calls_survive_short_silence() -> io::Result<()> {
    let stream = with_options(set_peer_options).await?;
    let socket = SockRef::from(&stream);
    assert!(socket.keepalive()?);
    let Probing { span, closed } = probing(&socket)?;
    assert!(span >= SHORT_SILENCE, "all probes are sent within {span:?}");
    assert!(closed <= MAX_SILENCE, "{closed:?}");
    let user_timeout = socket.tcp_user_timeout()?.unwrap_or_default();
    assert!((SHORT_SILENCE..=MAX_SILENCE).contains(&user_timeout), "{user_timeout:?}");
    Ok(())
}

/// The sending end of a link notices a dead peer by its unacknowledged messages alone.
#[tokio::test]
async fn links_survive_short_silence() -> io::Result<()> {
    let stream = with_options(set_link_options).await?;
    let socket = SockRef::from(&stream);
    assert!(!socket.keepalive()?);
    let user_timeout = socket.tcp_user_timeout()?.unwrap_or_default();
    assert!((SHORT_SILENCE..=Duration::from_secs(2)).contains(&user_timeout), "{user_timeout:?}");
    Ok(())
}

/// The receiving end of a link, which sends nothing, is closed after several lost probes.
#[tokio::test]
async fn accepted_links_survive_short_silence() -> io::Result<()> {
    let stream = with_options(set_accepted_link_options).await?;
    let socket = SockRef::from(&stream);
    assert!(socket.keepalive()?);
    let Probing { span, closed } = probing(&socket)?;
    assert!(span >= SHORT_SILENCE, "all probes are sent within {span:?}");
    assert!(closed <= MAX_IDLE_SILENCE, "{closed:?}");
    Ok(())
}
