//! Links between daemons: CBOR messages in WebSocket frames, on one thread.
//!
//! A link carries messages in one direction, from the daemon that dialed. It is dialed on first use
//! and again after it broke. Messages that can't be sent soon are dropped and counted; a sender
//! that needs an answer must repeat them.

use crate::{
    proof::{Hello, Side, prove, verify},
    socket::{set_accepted_link_options, set_link_options},
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

/// An event of a link, passed to the handler.
#[derive(Debug)]
pub enum Event {
    /// A message from an authenticated daemon.
    Message {
        /// The sender.
        from: HostId,
        /// The encoded message.
        bytes: Vec<u8>,
    },
    /// The link to a peer broke or could not be established.
    Broken {
        /// The peer's name.
        to: Name,
    },
}

/// Options of all links of a daemon.
#[derive(Clone, Debug)]
pub struct Options {
    /// Id of this process.
    pub host_id: HostId,
    /// Key shared by all daemons.
    pub key: Name,
    /// Maximum size of a message.
    pub max_message_bytes: usize,
}

/// Counters of messages and bytes on links, for metrics.
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

/// The sending end of all links.
#[derive(Clone)]
pub struct Links {
    outbox: mpsc::UnboundedSender<(Name, SocketAddr, Bytes)>,
    traffic: Arc<Traffic>,
}

type Handler = Arc<dyn Fn(Event) + Send + Sync>;

/// Timeout for connecting and the handshake, and for sending a message.
const LINK_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum number of messages queued for one peer.
const MAX_QUEUED: usize = 1_024;
/// Read buffer of each link; small, because a host has links to all others and messages are short.
const READ_BUFFER_BYTES: usize = 4 << 10;
/// Delay before a broken link is dialed again. If all hosts start together, some dial others that
/// start listening a few tens of milliseconds later.
const REDIAL_DELAY: Duration = Duration::from_millis(100);

impl Links {
    /// Accepts links at `listener` and passes their events to `handler`.
    ///
    /// # Errors
    /// If the thread or its runtime can't be created.
    pub fn try_start(
        listener: std::net::TcpListener,
        options: Options,
        handler: impl Fn(Event) + Send + Sync + 'static,
    ) -> anyhow::Result<Self> {
        listener.set_nonblocking(true)?;
        let (outbox, inbox) = mpsc::unbounded_channel();
        let traffic = Arc::new(Traffic::default());
        let shared = Shared {
            options: Arc::new(options),
            handler: Arc::new(handler),
            traffic: traffic.clone(),
        };
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
                dispatch(inbox, shared).await;
            });
        };
        thread::Builder::new().name("links".into()).spawn(run)?;
        Ok(Self { outbox, traffic })
    }

    /// Sends `message` to the peer `to` at `address`, or drops it if it can't be sent soon.
    pub fn send(&self, to: &Name, address: SocketAddr, message: &impl Serialize) {
        self.send_all([(to, address)].into_iter(), message);
    }

    /// Encodes `message` once and sends it to each of `peers`, or drops it. Returns the total
    /// number of bytes for all peers.
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
        let mut total_bytes = 0;
        for (to, address) in peers {
            total_bytes += bytes.len();
            if self.outbox.send((to.clone(), address, bytes.clone())).is_err() {
                self.traffic.dropped.fetch_add(1, Ordering::Relaxed);
            }
        }
        total_bytes
    }

    /// Returns the counters of the links.
    pub fn traffic(&self) -> &Traffic {
        &self.traffic
    }
}

/// Encodes a message.
///
/// # Errors
/// If it can't be serialized.
pub fn encode(message: &impl Serialize) -> Result<Vec<u8>, ciborium::ser::Error<std::io::Error>> {
    let mut bytes = Vec::new();
    ciborium::into_writer(message, &mut bytes)?;
    Ok(bytes)
}

/// Decodes a message; `None` if the bytes are not a valid one.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    // Without the recursion limit, a malicious frame could exhaust the stack.
    ciborium::de::from_reader_with_recursion_limit(bytes, MAX_DEPTH).ok()
}

/// Maximum nesting depth of a message.
const MAX_DEPTH: usize = 32;

#[derive(Clone)]
struct Shared {
    options: Arc<Options>,
    handler: Handler,
    traffic: Arc<Traffic>,
}

impl Shared {
    fn config(&self) -> WebSocketConfig {
        WebSocketConfig::default()
            .read_buffer_size(READ_BUFFER_BYTES)
            .max_message_size(Some(self.options.max_message_bytes))
            .max_frame_size(Some(self.options.max_message_bytes))
    }
}

/// Passes messages to the task of their peer.
async fn dispatch(mut inbox: mpsc::UnboundedReceiver<(Name, SocketAddr, Bytes)>, shared: Shared) {
    let mut peers: HashMap<(Name, SocketAddr), mpsc::Sender<Bytes>> = HashMap::new();
    while let Some((to, address, bytes)) = inbox.recv().await {
        let sender = peers.entry((to.clone(), address)).or_insert_with(|| {
            let (sender, queue) = mpsc::channel(MAX_QUEUED);
            tokio::task::spawn_local(send_to_peer(to, address, queue, shared.clone()));
            sender
        });
        if sender.try_send(bytes).is_err() {
            shared.traffic.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }
}

/// Owns the link to one peer and sends the messages in `queue`.
async fn send_to_peer(
    to: Name,
    address: SocketAddr,
    mut queue: mpsc::Receiver<Bytes>,
    shared: Shared,
) {
    let mut link = None;
    loop {
        let message = tokio::select! {
            biased;
            () = closed(&mut link) => {
                link = None;
                continue;
            }
            message = queue.recv() => message,
        };
        let Some(bytes) = message else {
            return;
        };
        if link.is_none() {
            link = timeout(LINK_TIMEOUT, dial(&to, address, &shared)).await.ok().flatten();
        }
        let len = bytes.len() as u64;
        let sent = match &mut link {
            None => false,
            Some(socket) => {
                let send = socket.send(Message::Binary(bytes));
                matches!(timeout(LINK_TIMEOUT, send).await, Ok(Ok(())))
            }
        };
        if sent {
            shared.traffic.sent.fetch_add(1, Ordering::Relaxed);
            shared.traffic.sent_bytes.fetch_add(len, Ordering::Relaxed);
            continue;
        }
        link = None;
        shared.traffic.dropped.fetch_add(1, Ordering::Relaxed);
        (shared.handler)(Event::Broken { to: to.clone() });
        while queue.try_recv().is_ok() {
            shared.traffic.dropped.fetch_add(1, Ordering::Relaxed);
        }
        // Messages of the meantime are sent: they may be for a process that has just started.
        tokio::time::sleep(REDIAL_DELAY).await;
    }
}

/// Waits until the peer has closed the link, on which it never sends.
///
/// A message to a peer that has started again would otherwise be sent on the link to its previous process, and be lost.
async fn closed(link: &mut Option<WebSocketStream<TcpStream>>) {
    match link {
        Some(socket) => while let Some(Ok(_)) = socket.next().await {},
        None => std::future::pending().await,
    }
}

/// Connects to the peer `to` and authenticates both ends; `None` if either fails.
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
    let remote: Hello = read(&mut socket).await?;
    let local = Hello::new(options.host_id.clone());
    let proof = prove(&options.key, Side::Dialer, &local, &remote);
    write(&mut socket, &(&local, proof)).await?;
    let answer: Vec<u8> = read(&mut socket).await?;
    let verified = verify(&options.key, Side::Acceptor, &local, &remote, &answer);
    if !verified || remote.from.name != *to {
        shared.traffic.refused.fetch_add(1, Ordering::Relaxed);
        log::warn!("event=link-refused side=dialer to={to} claimed={}", remote.from);
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
                tokio::time::sleep(REDIAL_DELAY).await;
            }
        }
    }
}

/// Owns an accepted link and passes its messages to the handler.
async fn receive(stream: TcpStream, shared: Shared) {
    let Ok(Some((mut socket, from))) =
        timeout(LINK_TIMEOUT, accept_handshake(stream, &shared)).await
    else {
        return;
    };
    while let Some(Ok(message)) = socket.next().await {
        let Message::Binary(bytes) = message else {
            continue;
        };
        shared.traffic.received.fetch_add(1, Ordering::Relaxed);
        shared.traffic.received_bytes.fetch_add(bytes.len() as u64, Ordering::Relaxed);
        (shared.handler)(Event::Message { from: from.clone(), bytes: bytes.to_vec() });
    }
}

/// Authenticates both ends of an accepted connection; `None` if it fails.
async fn accept_handshake(
    stream: TcpStream,
    shared: &Shared,
) -> Option<(WebSocketStream<TcpStream>, HostId)> {
    set_accepted_link_options(&stream).ok()?;
    let mut socket = accept_async_with_config(stream, Some(shared.config())).await.ok()?;
    let options = &shared.options;
    let local = Hello::new(options.host_id.clone());
    write(&mut socket, &local).await?;
    let (remote, proof): (Hello, Vec<u8>) = read(&mut socket).await?;
    if !verify(&options.key, Side::Dialer, &remote, &local, &proof) {
        shared.traffic.refused.fetch_add(1, Ordering::Relaxed);
        log::warn!("event=link-refused side=acceptor claimed={}", remote.from);
        return None;
    }
    let answer = prove(&options.key, Side::Acceptor, &remote, &local);
    write(&mut socket, &answer).await?;
    Some((socket, remote.from))
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
