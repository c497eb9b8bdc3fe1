//! Tests of the socket options by which the system detects a peer that stops without a reset.

use rstest::rstest;
use socket2::SockRef;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use vanetally_link::socket::{set_link_options, set_peer_options};

/// Maximum time that sent bytes may stay unacknowledged.
const USER_TIMEOUT: Duration = Duration::from_secs(2);

/// Reads the options back: loopback acknowledges all bytes, so it can't simulate a silent peer.
#[rstest]
#[case::call(set_peer_options, 2)]
#[case::link(set_link_options, 10)]
#[tokio::test]
async fn options_set(
    #[case] set_options: fn(&TcpStream) -> std::io::Result<()>,
    #[case] keepalive_s: u64,
) -> std::io::Result<()> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let stream = TcpStream::connect(listener.local_addr()?).await?;
    set_options(&stream)?;
    let socket = SockRef::from(&stream);
    assert_eq!(socket.tcp_user_timeout()?, Some(USER_TIMEOUT));
    assert!(socket.keepalive()?);
    assert_eq!(socket.tcp_keepalive_time()?, Duration::from_secs(keepalive_s));
    assert!(stream.nodelay()?);
    Ok(())
}
