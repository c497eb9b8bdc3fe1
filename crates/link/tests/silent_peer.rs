//! A peer that falls silent without a reset is noticed by the system's own time-outs.

use rstest::rstest;
use socket2::SockRef;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use vanetally_link::socket::{set_link_options, set_peer_options};

/// The longest that sent bytes may wait for their acknowledgement.
const NOTICED: Duration = Duration::from_secs(2);

/// Loopback acknowledges whatever arrives, so that no silence can be played on it: the options are read back.
#[rstest]
#[case::call(set_peer_options, 2)]
#[case::link(set_link_options, 10)]
#[tokio::test]
async fn options_set(
    #[case] watch: fn(&TcpStream) -> std::io::Result<()>,
    #[case] rest_s: u64,
) -> std::io::Result<()> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let stream = TcpStream::connect(listener.local_addr()?).await?;
    watch(&stream)?;
    let socket = SockRef::from(&stream);
    assert_eq!(socket.tcp_user_timeout()?, Some(NOTICED));
    assert!(socket.keepalive()?);
    assert_eq!(socket.tcp_keepalive_time()?, Duration::from_secs(rest_s));
    assert!(stream.nodelay()?);
    Ok(())
}
