//! Links between daemons: WebSocket frames with CBOR inside, on one thread.
//!
//! A link carries messages one way, from the daemon that dialed. It is dialed on first use and
//! again after it broke. Messages that can't be sent soon are dropped and counted: whoever needs
//! an answer repeats.

use crate::{
    proof::{Hello, Side, prove, verify},
    socket::set_link_options,
};
use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use serde::{Serialize, de::DeserializeOwned};
use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::Duration,
};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::mpsc,
    time::timeout,
};
use tokio_tungstenite::{
    WebSocketStream, accept_async_with_config, client_async_with_config,
    tungstenite::{Message, protocol::WebSocketConfig},
};
use vanetally_types::{HostId, Name};

/// What the daemon's loop hears of links.
#[derive(Debug)]
pub enum Event {
    /// A message of a daemon that knows the key.
    Message {
        /// Its sender.
        from: HostId,
        /// The bytes of the message.
        bytes: Vec<u8>,
    },
    /// The link to a peer could not be made or broke.
    Broken {
        /// The peer's name.
        to: Name,
    },
}

/// Settings of all links of a daemon.
#[derive(Clone, Debug)]
pub struct Options {
    /// This process.
    pub host_id: HostId,
    /// The shared key.
    pub key: Name,
    /// Largest message in bytes.
    pub max_message_bytes: usize,
}

/// Bytes and messages that went over links, for metrics.
#[derive(Debug, Default)]
pub struct Traffic {
    /// Messages sent.
    pub sent: AtomicU64,
    /// Bytes of messages sent.
    pub sent_bytes: AtomicU64,
    /// Messages received.
    pub received: AtomicU64,
    /// Bytes of messages received.
    pub received_bytes: AtomicU64,
    /// Messages dropped because the link was down or slow.
    pub dropped: AtomicU64,
    /// Handshakes refused.
    pub refused: AtomicU64,
}

/// The sending side of all links.
#[derive(Clone)]
pub struct Links {
    commands: mpsc::UnboundedSender<(Name, SocketAddr, Bytes)>,
    traffic: Arc<Traffic>,
}

type Sink = Arc<dyn Fn(Event) + Send + Sync>;

/// For the handshake and for a connection to come about.
const HANDSHAKE: Duration = Duration::from_secs(2);
/// Messages waiting for one peer.
const WAITING: usize = 1_024;
/// Bytes that each link reads at once: hosts have links to all others, and messages are short.
const READ_BUFFER: usize = 4 << 10;
/// After a link broke, no new one is dialed for this long: where all hosts start at once, some dial others that
/// listen a few tens of milliseconds later.
const REDIAL: Duration = Duration::from_millis(100);

impl Links {
    /// Accepts links at `listener` and hands what arrives to `sink`.
    ///
    /// # Errors
    /// If the thread or its runtime can't be made.
    pub fn try_start(
        listener: std::net::TcpListener,
        options: Options,
        sink: impl Fn(Event) + Send + Sync + 'static,
    ) -> anyhow::Result<Self> {
        listener.set_nonblocking(true)?;
        let (commands, inbox) = mpsc::unbounded_channel();
        let traffic = Arc::new(Traffic::default());
        let shared =
            Shared { options: Arc::new(options), sink: Arc::new(sink), traffic: traffic.clone() };
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        let run = move || {
            let local = tokio::task::LocalSet::new();
            local.block_on(&runtime, async move {
                match TcpListener::from_std(listener) {
                    Ok(listener) => {
                        tokio::task::spawn_local(accept(listener, shared.clone()));
                    }
                    Err(e) => log::error!("event=links-unavailable error=\"{e}\""),
                }
                route(inbox, shared).await;
            });
        };
        thread::Builder::new().name("links".into()).spawn(run)?;
        Ok(Self { commands, traffic })
    }

    /// Sends `message` to the peer `to` at `address`, or drops it.
    pub fn send(&self, to: &Name, address: SocketAddr, message: &impl Serialize) {
        self.send_all([(to, address)].into_iter(), message);
    }

    /// Sends `message` to all of `peers`, or drops it; it is encoded once. Gives back the bytes for all together.
    pub fn send_all<'a>(
        &self,
        peers: impl Iterator<Item = (&'a Name, SocketAddr)>,
        message: &impl Serialize,
    ) -> usize {
        let bytes = match encode(message) {
            Ok(bytes) => Bytes::from(bytes),
            Err(e) => {
                log::error!("event=encode-failed error=\"{e}\"");
                return 0;
            }
        };
        let mut sum = 0;
        for (to, address) in peers {
            sum += bytes.len();
            if self.commands.send((to.clone(), address, bytes.clone())).is_err() {
                self.traffic.dropped.fetch_add(1, Ordering::Relaxed);
            }
        }
        sum
    }

    /// What went over the links so far.
    pub fn traffic(&self) -> &Traffic {
        &self.traffic
    }
}

/// The bytes of a message.
///
/// # Errors
/// If it can't be written.
pub fn encode(message: &impl Serialize) -> Result<Vec<u8>, ciborium::ser::Error<std::io::Error>> {
    let mut bytes = Vec::new();
    ciborium::into_writer(message, &mut bytes)?;
    Ok(bytes)
}

/// Reads a message; `None` for bytes that are none.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    // The recursion limit keeps a hostile frame from exhausting the stack.
    ciborium::de::from_reader_with_recursion_limit(bytes, MOST_DEPTH).ok()
}

/// How deep a message may be nested.
const MOST_DEPTH: usize = 32;

#[derive(Clone)]
struct Shared {
    options: Arc<Options>,
    sink: Sink,
    traffic: Arc<Traffic>,
}

impl Shared {
    fn config(&self) -> WebSocketConfig {
        WebSocketConfig::default()
            .read_buffer_size(READ_BUFFER)
            .max_message_size(Some(self.options.max_message_bytes))
            .max_frame_size(Some(self.options.max_message_bytes))
    }
}

/// Hands messages to the task of their peer.
async fn route(mut inbox: mpsc::UnboundedReceiver<(Name, SocketAddr, Bytes)>, shared: Shared) {
    let mut peers: HashMap<(Name, SocketAddr), mpsc::Sender<Bytes>> = HashMap::new();
    while let Some((to, address, bytes)) = inbox.recv().await {
        let sender = peers.entry((to.clone(), address)).or_insert_with(|| {
            let (sender, queue) = mpsc::channel(WAITING);
            tokio::task::spawn_local(feed(to, address, queue, shared.clone()));
            sender
        });
        if sender.try_send(bytes).is_err() {
            shared.traffic.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }
}

/// Owns the link to one peer.
async fn feed(to: Name, address: SocketAddr, mut queue: mpsc::Receiver<Bytes>, shared: Shared) {
    let mut link = None;
    while let Some(bytes) = queue.recv().await {
        if link.is_none() {
            link = timeout(HANDSHAKE, dial(&to, address, &shared)).await.ok().flatten();
        }
        let len = bytes.len() as u64;
        let sent = match &mut link {
            None => false,
            Some(socket) => {
                let send = socket.send(Message::Binary(bytes));
                matches!(timeout(HANDSHAKE, send).await, Ok(Ok(())))
            }
        };
        if sent {
            shared.traffic.sent.fetch_add(1, Ordering::Relaxed);
            shared.traffic.sent_bytes.fetch_add(len, Ordering::Relaxed);
            continue;
        }
        link = None;
        shared.traffic.dropped.fetch_add(1, Ordering::Relaxed);
        (shared.sink)(Event::Broken { to: to.clone() });
        tokio::time::sleep(REDIAL).await;
        while queue.try_recv().is_ok() {
            shared.traffic.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }
}

async fn dial(
    to: &Name,
    address: SocketAddr,
    shared: &Shared,
) -> Option<WebSocketStream<TcpStream>> {
    let stream = TcpStream::connect(address).await.ok()?;
    set_link_options(&stream).ok()?;
    let url = format!("ws://{address}/link");
    let connected = client_async_with_config(url, stream, Some(shared.config())).await;
    let (mut socket, _) = connected.ok()?;
    let options = &shared.options;
    let theirs: Hello = read(&mut socket).await?;
    let mine = Hello::new(options.host_id.clone());
    let proof = prove(&options.key, Side::Dialer, &mine, &theirs);
    write(&mut socket, &(&mine, proof)).await?;
    let answer: Vec<u8> = read(&mut socket).await?;
    let known = verify(&options.key, Side::Acceptor, &mine, &theirs, &answer);
    if !known || theirs.from.name != *to {
        shared.traffic.refused.fetch_add(1, Ordering::Relaxed);
        log::warn!("event=link-refused side=dialer to={to} claimed={}", theirs.from);
        return None;
    }
    Some(socket)
}

async fn accept(listener: TcpListener, shared: Shared) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::task::spawn_local(receive(stream, shared.clone()));
            }
            Err(e) => {
                log::warn!("event=link-accept-failed error=\"{e}\"");
                tokio::time::sleep(REDIAL).await;
            }
        }
    }
}

/// Owns an accepted link.
async fn receive(stream: TcpStream, shared: Shared) {
    let Ok(Some((mut socket, from))) = timeout(HANDSHAKE, greet(stream, &shared)).await else {
        return;
    };
    while let Some(Ok(message)) = socket.next().await {
        let Message::Binary(bytes) = message else {
            continue;
        };
        shared.traffic.received.fetch_add(1, Ordering::Relaxed);
        shared.traffic.received_bytes.fetch_add(bytes.len() as u64, Ordering::Relaxed);
        (shared.sink)(Event::Message { from: from.clone(), bytes: bytes.to_vec() });
    }
}

async fn greet(stream: TcpStream, shared: &Shared) -> Option<(WebSocketStream<TcpStream>, HostId)> {
    set_link_options(&stream).ok()?;
    let mut socket = accept_async_with_config(stream, Some(shared.config())).await.ok()?;
    let options = &shared.options;
    let mine = Hello::new(options.host_id.clone());
    write(&mut socket, &mine).await?;
    let (theirs, proof): (Hello, Vec<u8>) = read(&mut socket).await?;
    if !verify(&options.key, Side::Dialer, &theirs, &mine, &proof) {
        shared.traffic.refused.fetch_add(1, Ordering::Relaxed);
        log::warn!("event=link-refused side=acceptor claimed={}", theirs.from);
        return None;
    }
    let answer = prove(&options.key, Side::Acceptor, &theirs, &mine);
    write(&mut socket, &answer).await?;
    Some((socket, theirs.from))
}

async fn read<T: DeserializeOwned>(socket: &mut WebSocketStream<TcpStream>) -> Option<T> {
    match socket.next().await? {
        Ok(Message::Binary(bytes)) => decode(&bytes),
        _ => None,
    }
}

async fn write(socket: &mut WebSocketStream<TcpStream>, value: &impl Serialize) -> Option<()> {
    let mut bytes = Vec::new();
    ciborium::into_writer(value, &mut bytes).ok()?;
    socket.send(Message::Binary(bytes.into())).await.ok()
}
