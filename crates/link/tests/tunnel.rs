//! Tunnels through another daemon: what passes, and what their ends look like.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::watch,
    time::timeout,
};
use vanetally_link::{
    peer::{Event, Links, Options},
    tunnel::{Tunnel, TunnelError, TunnelRefusal, TunnelRequest, TunnelTarget, TunnelWatcher},
};
use vanetally_types::{HostId, Incarnation, Name};

const MAX_WAIT: Duration = Duration::from_secs(2);
const EXIT: &str = "exit";
const ANSWER: &[u8] = b"HTTP/1.1 204 No Content\r\n\r\n";

type Decide = dyn Fn(&TunnelRequest) -> Result<TunnelTarget, TunnelRefusal> + Send + Sync;

fn links(name: &str, key: &str, decide: Box<Decide>) -> (Links, SocketAddr) {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("it is bound");
    let host_id = HostId::new(name, 1);
    let options = Options { host_id, key: key.into(), max_message_bytes: 1 << 20 };
    let links = Links::try_start(listener, options, move |event| {
        if let Event::Tunnel { request, decide: answer, .. } = event {
            assert!(answer.send(decide(&request)).is_ok(), "the tunnel waits");
        }
    });
    (links.expect("the links start"), address)
}

/// Records what an exit sees of the upstream.
#[derive(Clone, Debug, Default)]
struct Signs(Arc<Mutex<Vec<&'static str>>>);

impl Signs {
    fn add(&self, sign: &'static str) {
        self.0.lock().expect("no panic").push(sign);
    }

    /// Waits until these signs have been seen, and no others.
    async fn wait_for(&self, expected: &[&str]) {
        let seen = async {
            while *self.0.lock().expect("no panic") != expected {
                tokio::time::sleep(Duration::from_millis(2)).await;
            }
        };
        let in_time = timeout(MAX_WAIT, seen).await;
        assert!(in_time.is_ok(), "{:?} instead of {expected:?}", self.0.lock());
    }
}

impl TunnelWatcher for Signs {
    fn sent(&mut self) {
        self.add("sent");
    }

    fn answered(&mut self) {
        self.add("answered");
    }

    fn broken(&mut self) {
        self.add("broken");
    }
}

/// Two daemons, of which one is the exit to `upstream`.
struct Site {
    links: Links,
    exit: SocketAddr,
    signs: Signs,
    closer: Arc<Mutex<Option<watch::Sender<()>>>>,
    stopper: watch::Sender<bool>,
    _exit_links: Links,
}

impl Site {
    fn new(upstream: SocketAddr) -> Self {
        let closer = watch::Sender::new(());
        let closed = closer.subscribe();
        let (stopper, stopping) = watch::channel(false);
        let signs = Signs::default();
        let watched = signs.clone();
        let decide = move |_: &TunnelRequest| {
            let (closed, watcher) = (closed.clone(), Box::new(watched.clone()));
            let stopping = stopping.clone();
            Ok(TunnelTarget { address: upstream, watcher, closed, stopping, guard: Box::new(()) })
        };
        let (exit_links, exit) = links(EXIT, "key", Box::new(decide));
        let (links, _) = links("me", "key", Box::new(|_| Err(TunnelRefusal::Leaving)));
        let closer = Arc::new(Mutex::new(Some(closer)));
        Self { links, exit, signs, closer, stopper, _exit_links: exit_links }
    }

    async fn open(&self) -> Result<Tunnel, TunnelError> {
        self.links.open_tunnel(&EXIT.into(), self.exit, &request()).await
    }
}

fn request() -> TunnelRequest {
    TunnelRequest { upstream: Incarnation::new("u1", Some(7)), must_probe: false }
}

async fn upstream() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("it is bound");
    (listener, address)
}

async fn accept(listener: &TcpListener) -> TcpStream {
    listener.accept().await.expect("a connection").0
}

#[tokio::test]
async fn bytes_pass_both_ways() {
    const LENGTH: usize = 300_000;
    let (listener, address) = upstream().await;
    let site = Site::new(address);
    let Tunnel { mut stream, .. } = site.open().await.expect("it opens");
    let mut far = accept(&listener).await;
    let sent: Vec<u8> = (0..LENGTH).map(|number| number as u8).collect();
    let echo = async {
        let mut received = vec![0; LENGTH];
        far.read_exact(&mut received).await.expect("all bytes");
        far.write_all(&received).await.expect("an open connection");
        received
    };
    let exchange = async {
        stream.write_all(&sent).await.expect("an open tunnel");
        stream.flush().await.expect("an open tunnel");
    };
    let (received, ()) =
        timeout(MAX_WAIT, async { tokio::join!(echo, exchange) }).await.expect("in time");
    assert!(received == sent);
    let mut answer = vec![0; LENGTH];
    timeout(MAX_WAIT, stream.read_exact(&mut answer)).await.expect("in time").expect("all bytes");
    assert!(answer == sent);
}

/// The end of a response that has no length is its connection's end.
#[tokio::test]
async fn closed_upstream() {
    let (listener, address) = upstream().await;
    let site = Site::new(address);
    let mut stream = site.open().await.expect("it opens").stream;
    let mut far = accept(&listener).await;
    far.write_all(b"whole").await.expect("an open connection");
    drop(far);
    let mut received = Vec::new();
    let read = timeout(MAX_WAIT, stream.read_to_end(&mut received)).await.expect("in time");
    assert_eq!(read.ok(), Some(5));
}

/// A response that was reset must not look complete.
#[tokio::test]
async fn reset_upstream() {
    let (listener, address) = upstream().await;
    let site = Site::new(address);
    let mut stream = site.open().await.expect("it opens").stream;
    let mut far = accept(&listener).await;
    far.write_all(b"a part").await.expect("an open connection");
    let mut part = [0; 6];
    timeout(MAX_WAIT, stream.read_exact(&mut part)).await.expect("in time").expect("the part");
    far.set_zero_linger().expect("an open connection");
    drop(far);
    let mut rest = Vec::new();
    let read = timeout(MAX_WAIT, stream.read_to_end(&mut rest)).await.expect("in time");
    assert!(read.is_err(), "it looks complete");
}

/// The exit sees which requests are answered, without knowing where one ends.
#[tokio::test]
async fn exit_sees_answers() {
    let (listener, address) = upstream().await;
    let site = Site::new(address);
    let mut stream = site.open().await.expect("it opens").stream;
    let mut far = accept(&listener).await;
    for _ in 0..2 {
        stream.write_all(b"request").await.expect("an open tunnel");
        stream.flush().await.expect("an open tunnel");
        far.read_exact(&mut [0; 7]).await.expect("the request");
        far.write_all(ANSWER).await.expect("an open connection");
        stream.read_exact(&mut [0; ANSWER.len()]).await.expect("the answer");
    }
    // An upstream may close a connection without a request.
    drop(far);
    let mut rest = Vec::new();
    timeout(MAX_WAIT, stream.read_to_end(&mut rest)).await.expect("in time").expect("the end");
    site.signs.wait_for(&["sent", "answered", "sent", "answered"]).await;
}

/// An exit that stops tells so, and closes a tunnel without a request.
#[tokio::test]
async fn idle_at_stop() {
    let (listener, address) = upstream().await;
    let site = Site::new(address);
    let Tunnel { mut stream, notice } = site.open().await.expect("it opens");
    let _far = accept(&listener).await;
    assert!(!notice.is_given());
    site.stopper.send_replace(true);
    let read = timeout(MAX_WAIT, stream.read(&mut [0])).await.expect("in time");
    assert_eq!(read.ok(), Some(0), "it is closed");
    assert!(notice.is_given(), "before it is closed");
}

/// An exit that stops waits for the answer that is under way, and for all of it.
#[tokio::test]
async fn busy_at_stop() {
    let (listener, address) = upstream().await;
    let site = Site::new(address);
    let Tunnel { mut stream, notice } = site.open().await.expect("it opens");
    let mut far = accept(&listener).await;
    stream.write_all(b"request").await.expect("an open tunnel");
    stream.flush().await.expect("an open tunnel");
    far.read_exact(&mut [0; 7]).await.expect("the request");
    site.stopper.send_replace(true);
    let parts = [b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwh".as_slice(), b"ole"];
    let mut received = Vec::new();
    for part in parts {
        tokio::time::sleep(Duration::from_millis(600)).await;
        far.write_all(part).await.expect("an open connection");
        let mut bytes = vec![0; part.len()];
        let read = timeout(MAX_WAIT, stream.read_exact(&mut bytes)).await.expect("in time");
        read.expect("an open tunnel");
        received.extend(bytes);
    }
    assert!(notice.is_given());
    assert_eq!(received, parts.concat());
    let read = timeout(MAX_WAIT, stream.read(&mut [0])).await.expect("in time");
    assert_eq!(read.ok(), Some(0), "it is closed after the answer");
}

/// An exit holds no more of a head than it follows; a longer one passes, and shows nothing.
#[tokio::test]
async fn long_head() {
    let (listener, address) = upstream().await;
    let site = Site::new(address);
    let mut stream = site.open().await.expect("it opens").stream;
    let mut far = accept(&listener).await;
    stream.write_all(b"request").await.expect("an open tunnel");
    stream.flush().await.expect("an open tunnel");
    far.read_exact(&mut [0; 7]).await.expect("the request");
    let head = format!("HTTP/1.1 204 No Content\r\nX-Long: {}\r\n\r\n", "x".repeat(20_000));
    far.write_all(head.as_bytes()).await.expect("an open connection");
    drop(far);
    let mut received = Vec::new();
    timeout(MAX_WAIT, stream.read_to_end(&mut received)).await.expect("in time").expect("the end");
    assert_eq!(received.len(), head.len());
    site.signs.wait_for(&["sent"]).await;
}

/// Bytes that are no answer show neither that the upstream answers nor that it can't be reached.
#[rstest::rstest]
#[case(b"HTTP/1.1 200 OK\r\nno field\r\n\r\n")]
#[case(b"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 000 None\r\n\r\n")]
#[case(b"answer")]
#[tokio::test]
async fn exit_sees_no_answer(#[case] bytes: &[u8]) {
    let (listener, address) = upstream().await;
    let site = Site::new(address);
    let mut stream = site.open().await.expect("it opens").stream;
    let mut far = accept(&listener).await;
    stream.write_all(b"request").await.expect("an open tunnel");
    stream.flush().await.expect("an open tunnel");
    far.read_exact(&mut [0; 7]).await.expect("the request");
    far.write_all(bytes).await.expect("an open connection");
    drop(far);
    let mut received = Vec::new();
    timeout(MAX_WAIT, stream.read_to_end(&mut received)).await.expect("in time").expect("the end");
    assert_eq!(received, bytes, "the requesting host judges them");
    site.signs.wait_for(&["sent"]).await;
}

/// An upstream, or a proxy in front of it, accepts the connection and resets it without an answer.
#[tokio::test]
async fn exit_sees_reset() {
    let (listener, address) = upstream().await;
    let site = Site::new(address);
    let mut stream = site.open().await.expect("it opens").stream;
    let mut far = accept(&listener).await;
    stream.write_all(b"request").await.expect("an open tunnel");
    stream.flush().await.expect("an open tunnel");
    far.read_exact(&mut [0; 7]).await.expect("the request");
    far.set_zero_linger().expect("an open connection");
    drop(far);
    site.signs.wait_for(&["sent", "broken"]).await;
}

/// A caller that leaves cancels its request at the upstream.
#[tokio::test]
async fn closed_by_requester() {
    let (listener, address) = upstream().await;
    let site = Site::new(address);
    let stream = site.open().await.expect("it opens").stream;
    let mut far = accept(&listener).await;
    drop(stream);
    let read = timeout(MAX_WAIT, far.read(&mut [0])).await.expect("in time");
    assert!(matches!(read, Ok(0) | Err(_)));
}

/// An exit that loses its path to the upstream ends its tunnels.
#[tokio::test]
async fn closed_by_exit() {
    let (listener, address) = upstream().await;
    let site = Site::new(address);
    let mut stream = site.open().await.expect("it opens").stream;
    let _far = accept(&listener).await;
    site.closer.lock().expect("no panic").take();
    let read = timeout(MAX_WAIT, stream.read(&mut [0])).await.expect("in time");
    assert!(read.is_err(), "it looks complete");
}

#[tokio::test]
async fn refusals() {
    let (listener, address) = upstream().await;
    drop(listener);
    let site = Site::new(address);
    assert_eq!(site.open().await.err(), Some(TunnelRefusal::NotConnected.into()));
    site.signs.wait_for(&["broken"]).await;
    let (exit_links, exit) = links(EXIT, "key", Box::new(|_| Err(TunnelRefusal::CutOff)));
    let site = Site::new(address);
    let asked = site.links.open_tunnel(&EXIT.into(), exit, &request()).await;
    assert_eq!(asked.err(), Some(TunnelRefusal::CutOff.into()));
    let other: Name = "another".into();
    let asked = site.links.open_tunnel(&other, exit, &request()).await;
    assert_eq!(asked.err(), Some(TunnelError::NoExit), "the exit is another host");
    drop(exit_links);
}

/// Only hosts of the deployment may use an exit.
#[tokio::test]
async fn wrong_key() {
    let (_listener, address) = upstream().await;
    let site = Site::new(address);
    let (stranger, _) = links("me", "another key", Box::new(|_| Err(TunnelRefusal::Leaving)));
    let asked = stranger.open_tunnel(&EXIT.into(), site.exit, &request()).await;
    assert_eq!(asked.err(), Some(TunnelError::NoExit));
}
