//! Links between daemons: CBOR messages in WebSocket frames, on one thread.
//!
//! A link carries messages in one direction, from the daemon that dialed. It is dialed on first use
//! and again after it broke. Messages that can't be sent soon are dropped and counted; a sender
//! that needs an answer must repeat them.

use crate::{
    handshake::{self, Purpose, Socket},
    tunnel::{self, Tunnel, TunnelDecision, TunnelError, TunnelRequest},
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
use tokio_tungstenite::tungstenite::Message;
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
    /// A daemon asks for a tunnel to an upstream.
    Tunnel {
        /// The daemon that asks.
        from: HostId,
        /// What it asks for.
        request: TunnelRequest,
        /// Takes the decision.
        decide: TunnelDecision,
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
    options: Arc<Options>,
    traffic: Arc<Traffic>,
}

pub(crate) type Handler = Arc<dyn Fn(Event) + Send + Sync>;

/// Timeout for connecting and the handshake, and for sending a message.
pub(crate) const LINK_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum number of messages queued for one peer.
const MAX_QUEUED: usize = 1_024;
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
        let options = Arc::new(options);
        let shared = Shared {
            options: options.clone(),
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
        Ok(Self { outbox, options, traffic })
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

    /// Opens a tunnel to an upstream through the peer `to` at `address`.
    ///
    /// # Errors
    /// If the peer can't be reached or refuses. Nothing was sent to the upstream then.
    pub async fn open_tunnel(
        &self,
        to: &Name,
        address: SocketAddr,
        request: &TunnelRequest,
    ) -> Result<Tunnel, TunnelError> {
        let link = (self.options.as_ref(), self.traffic.as_ref());
        tunnel::open(to, address, request, link).await
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
    /// Returns what a handshake needs.
    fn link(&self) -> (&Options, &Traffic) {
        (&self.options, &self.traffic)
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
            let dialed = handshake::dial(&to, address, Purpose::Link, shared.link());
            link = timeout(LINK_TIMEOUT, dialed).await.ok().flatten();
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
async fn closed(link: &mut Option<Socket>) {
    match link {
        Some(socket) => while let Some(Ok(_)) = socket.next().await {},
        None => std::future::pending().await,
    }
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

/// Authenticates an accepted connection and serves it until it ends.
async fn receive(stream: TcpStream, shared: Shared) {
    let handshake = handshake::accept(stream, shared.link());
    let Ok(Some((socket, from, purpose))) = timeout(LINK_TIMEOUT, handshake).await else {
        return;
    };
    match purpose {
        Purpose::Link => receive_messages(socket, from, &shared).await,
        Purpose::Tunnel => tunnel::serve(socket, from, &shared.handler).await,
    }
}

/// Passes the messages of an accepted link to the handler.
async fn receive_messages(mut socket: Socket, from: HostId, shared: &Shared) {
    while let Some(Ok(message)) = socket.next().await {
        let Message::Binary(bytes) = message else {
            continue;
        };
        shared.traffic.received.fetch_add(1, Ordering::Relaxed);
        shared.traffic.received_bytes.fetch_add(bytes.len() as u64, Ordering::Relaxed);
        (shared.handler)(Event::Message { from: from.clone(), bytes: bytes.to_vec() });
    }
}
