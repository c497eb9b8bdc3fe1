//! Tunnels: connections to upstreams that pass through another daemon, the *exit*.
//!
//! The daemon that can't reach an upstream opens a tunnel to the exit, which connects to the upstream
//! and copies bytes in both directions. The exit changes none of them, and follows where answers begin and end. A tunnel
//! ends when either of its connections ends, so that the end of a request reaches the upstream; a connection
//! that was reset is told apart from one that was closed.

use crate::{
    handshake::{self, Purpose, Socket},
    peer::{Event, Handler, LINK_TIMEOUT, Options, Traffic},
    socket,
};
use bytes::Bytes;
use futures_util::{SinkExt, StreamExt, future};
use serde::{Deserialize, Serialize};
use std::{
    any::Any,
    fmt, io,
    net::SocketAddr,
    pin::Pin,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    task::{Context, Poll, ready},
    time::Duration,
};
use tokio::{
    io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, join, split},
    net::TcpStream,
    sync::{oneshot, watch},
    time::{sleep, timeout},
};
use tokio_tungstenite::tungstenite::Message;
use tokio_util::io::{CopyToBytes, SinkWriter, StreamReader};
use vanetally_answer::{AnswerReader, Malformed};
use vanetally_types::{HostId, Incarnation, Name};

/// Asks a daemon for a tunnel.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TunnelRequest {
    /// The upstream to which the tunnel leads. The exit uses the address that it knows itself.
    #[serde(rename = "u")]
    pub upstream: Incarnation,
    /// Whether the exit asks the upstream first in any case, to tell whether it is alive.
    #[serde(rename = "p", default)]
    pub must_probe: bool,
}

/// The bytes that pass through a tunnel.
pub trait ByteStream: AsyncRead + AsyncWrite + Unpin + Send {}

impl<T: AsyncRead + AsyncWrite + Unpin + Send> ByteStream for T {}

/// An open tunnel.
pub struct Tunnel {
    /// The bytes of the connection to the upstream.
    pub stream: Box<dyn ByteStream>,
    /// Whether the exit has told that it stops.
    pub notice: StopNotice,
}

/// Whether the exit of a tunnel stops. It then waits for the answer that is under way and carries no other request.
#[derive(Clone, Debug, Default)]
pub struct StopNotice(Arc<AtomicBool>);

impl StopNotice {
    /// Whether the exit has told that it stops.
    pub fn is_given(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }

    fn give(&self) {
        self.0.store(true, Ordering::Relaxed);
    }
}

/// Why an exit opens no tunnel. Nothing was sent to the upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
pub enum TunnelRefusal {
    /// The exit can't reach the upstream either, and may be cut off itself.
    #[error("cut off")]
    CutOff,
    /// The exit reaches other upstreams, but not this one.
    #[error("unreachable")]
    Unreachable,
    /// This incarnation of the upstream has ended.
    #[error("ended")]
    Ended,
    /// The exit could not connect to the upstream, and has not found out why.
    #[error("not connected")]
    NotConnected,
    /// The exit has as many tunnels as it may have.
    #[error("busy")]
    Busy,
    /// The exit is stopping.
    #[error("leaving")]
    Leaving,
    /// The exit knows no such upstream.
    #[error("unknown upstream")]
    Unknown,
}

/// Why a tunnel could not be opened. Nothing was sent to the upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum TunnelError {
    /// The exit could not be reached, or did not answer in time.
    #[error("exit unreachable")]
    NoExit,
    /// The exit refused.
    #[error("refused: {0}")]
    Refused(#[from] TunnelRefusal),
}

/// Follows what the exit sees of the upstream at the far end of a tunnel. It is dropped with the
/// tunnel.
pub trait TunnelWatcher: fmt::Debug + Send {
    /// Bytes were sent to the upstream, which has answered all that was sent before.
    fn sent(&mut self);
    /// The upstream answered.
    fn answered(&mut self);
    /// The upstream could not be connected to, or its connection ended without an answer.
    fn broken(&mut self);
}

/// Where an accepted tunnel leads.
#[derive(Debug)]
pub struct TunnelTarget {
    /// Address of the upstream.
    pub address: SocketAddr,
    /// Follows the upstream's end of the tunnel.
    pub watcher: Box<dyn TunnelWatcher>,
    /// The tunnel is closed when the sender is dropped.
    pub closed: watch::Receiver<()>,
    /// Set when the tunnel carries no further request: it is closed once none is under way.
    pub stopping: watch::Receiver<bool>,
    /// Dropped with the tunnel.
    pub guard: Box<dyn Any + Send>,
}

/// Passes the decision on a tunnel to the thread that serves it.
pub type TunnelDecision = oneshot::Sender<Result<TunnelTarget, TunnelRefusal>>;

#[derive(Debug, Serialize, Deserialize)]
enum Reply {
    Opened,
    Refused(TunnelRefusal),
}

/// Timeout of the exit's connection to the upstream.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Timeout of the opening of a tunnel, longer than that of the exit's connection to the upstream.
const OPEN_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum number of bytes in a frame.
const MAX_FRAME_BYTES: usize = 8 << 10;
/// Time without bytes after which a tunnel of a stopping host is closed if it carries no request: the requesting host has
/// learned of the stop by then, and sends none.
const NOTICE_TIME: Duration = Duration::from_millis(250);
/// Maximum size of the head of an answer that the exit follows; a longer one shows nothing. It is held for each tunnel.
const MAX_FOLLOWED_HEAD_BYTES: usize = 8 << 10;

/// Opens a tunnel through the daemon `to`.
pub(crate) async fn open(
    to: &Name,
    address: SocketAddr,
    request: &TunnelRequest,
    (options, traffic): (&Options, &Traffic),
) -> Result<Tunnel, TunnelError> {
    let opening = async {
        let link = (options, traffic);
        let mut socket = handshake::dial(to, address, Purpose::Tunnel, link).await?;
        handshake::write(&mut socket, request).await?;
        let reply: Reply = handshake::read(&mut socket).await?;
        Some((socket, reply))
    };
    let opened = timeout(OPEN_TIMEOUT, opening).await.ok().flatten();
    match opened.ok_or(TunnelError::NoExit)? {
        (socket, Reply::Opened) => {
            let notice = StopNotice::default();
            Ok(Tunnel { stream: byte_stream(socket, notice.clone()), notice })
        }
        (_, Reply::Refused(refusal)) => Err(refusal.into()),
    }
}

/// Serves a tunnel of the daemon `from` that was accepted on `socket`.
pub(crate) async fn serve(mut socket: Socket, from: HostId, handler: &Handler) {
    let request = timeout(LINK_TIMEOUT, handshake::read(&mut socket)).await;
    let Ok(Some(request)) = request else {
        return;
    };
    let (decide, decision) = oneshot::channel();
    handler(Event::Tunnel { from, request, decide });
    // Without a decision the process is ending.
    let decided = decision.await.unwrap_or(Err(TunnelRefusal::Leaving));
    let connected = match decided {
        Ok(target) => connect(target).await,
        Err(refusal) => Err(refusal),
    };
    let reply = match &connected {
        Ok(_) => Reply::Opened,
        Err(refusal) => Reply::Refused(*refusal),
    };
    let is_sent = handshake::write(&mut socket, &reply).await.is_some();
    if let (true, Ok((stream, target))) = (is_sent, connected) {
        forward(byte_stream(socket, StopNotice::default()), stream, target).await;
    }
}

async fn connect(mut target: TunnelTarget) -> Result<(TcpStream, TunnelTarget), TunnelRefusal> {
    match socket::connect_bounded(target.address, CONNECT_TIMEOUT).await {
        Ok(stream) => Ok((stream, target)),
        Err(_) => {
            target.watcher.broken();
            Err(TunnelRefusal::NotConnected)
        }
    }
}

/// Copies bytes until either connection ends.
async fn forward(near: impl AsyncRead + AsyncWrite + Unpin, far: TcpStream, target: TunnelTarget) {
    let TunnelTarget { watcher, mut closed, stopping, guard: _guard, .. } = target;
    let (mut near_reader, mut near_writer) = split(near);
    let (mut far_reader, mut far_writer) = split(far);
    let far_end = FarEnd::new(watcher);
    tokio::select! {
        // The requesting host has given up, or has lost its way here.
        _ = forward_requests(&mut near_reader, &mut far_writer, &far_end) => {}
        copied = forward_responses(&mut far_reader, &mut near_writer, &far_end, stopping) => {
            // Only the regular end of a response may look like one.
            if copied.is_ok() {
                // The requesting host may have left meanwhile.
                let _ = near_writer.shutdown().await;
            }
        }
        _ = closed.changed() => {}
    }
}

/// What is known of the upstream at the far end of a tunnel.
struct FarEnd {
    watcher: Mutex<Box<dyn TunnelWatcher>>,
    seen: Mutex<Seen>,
}

/// What an upstream has shown on the connection of a tunnel.
#[derive(Debug)]
struct Seen {
    answers: AnswerReader,
    /// Whether bytes have come.
    has_sent: bool,
}

impl Seen {
    /// Records bytes of the upstream; returns whether they complete the head of an answer.
    fn received(&mut self, bytes: &[u8]) -> bool {
        self.has_sent = true;
        let is_awaited = self.answers.awaits_head();
        self.answers.read(bytes);
        let is_answer = matches!(self.answers.malformed(), None | Some(Malformed::Surplus));
        is_awaited && is_answer && !self.answers.awaits_head()
    }

    /// Records the end of the connection; returns whether it broke off. An upstream may close a connection that it has
    /// served, but not a new one.
    fn ended(&mut self) -> bool {
        self.answers.awaits_head() || !self.has_sent
    }
}

impl FarEnd {
    fn new(watcher: Box<dyn TunnelWatcher>) -> Self {
        let answers = AnswerReader::with_max_head(MAX_FOLLOWED_HEAD_BYTES);
        let seen = Seen { answers, has_sent: false };
        Self { watcher: Mutex::new(watcher), seen: Mutex::new(seen) }
    }

    fn sent(&self, bytes: &[u8]) {
        if self.seen().answers.sent(bytes) {
            self.watcher().sent();
        }
    }

    fn received(&self, bytes: &[u8]) {
        if self.seen().received(bytes) {
            self.watcher().answered();
        }
    }

    fn ended(&self) {
        if self.seen().ended() {
            self.watcher().broken();
        }
    }

    /// Whether no request is under way.
    fn is_idle(&self) -> bool {
        self.seen().answers.is_idle()
    }

    fn watcher(&self) -> MutexGuard<'_, Box<dyn TunnelWatcher>> {
        self.watcher.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn seen(&self) -> MutexGuard<'_, Seen> {
        self.seen.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

async fn forward_requests(
    near: &mut (impl AsyncRead + Unpin),
    far: &mut (impl AsyncWrite + Unpin),
    far_end: &FarEnd,
) -> io::Result<()> {
    let mut buffer = vec![0; MAX_FRAME_BYTES];
    loop {
        let length = near.read(&mut buffer).await?;
        if length == 0 {
            return Ok(());
        }
        far_end.sent(&buffer[..length]);
        let written = far.write_all(&buffer[..length]).await;
        written.inspect_err(|_| far_end.ended())?;
    }
}

/// Forwards responses until the upstream ends the connection, or until none is under way at a host that stops.
async fn forward_responses(
    far: &mut (impl AsyncRead + Unpin),
    near: &mut (impl AsyncWrite + Unpin),
    far_end: &FarEnd,
    mut stopping: watch::Receiver<bool>,
) -> io::Result<()> {
    let mut buffer = vec![0; MAX_FRAME_BYTES];
    let mut is_told = false;
    loop {
        let read = tokio::select! {
            read = far.read(&mut buffer) => read,
            Ok(_) = stopping.wait_for(|is_stopping| *is_stopping), if !is_told => {
                is_told = true;
                give_notice(near).await?;
                continue;
            }
            () = sleep(NOTICE_TIME), if is_told => {
                if far_end.is_idle() {
                    return Ok(());
                }
                continue;
            }
        };
        let length = read.inspect_err(|_| far_end.ended())?;
        if length == 0 {
            far_end.ended();
            return Ok(());
        }
        far_end.received(&buffer[..length]);
        near.write_all(&buffer[..length]).await?;
        near.flush().await?;
    }
}

/// Tells the requesting host that this one stops: an empty frame, which carries nothing.
async fn give_notice(near: &mut (impl AsyncWrite + Unpin)) -> io::Result<()> {
    future::poll_fn(|context| Pin::new(&mut *near).poll_write(context, &[])).await?;
    near.flush().await
}

/// Returns the bytes in the frames of `socket` as a stream.
fn byte_stream(socket: Socket, notice: StopNotice) -> Box<dyn ByteStream> {
    let (sink, stream) = socket.split();
    let frames = stream.filter_map(move |frame| {
        future::ready(match frame {
            Ok(Message::Binary(bytes)) if bytes.is_empty() => {
                notice.give();
                None
            }
            Ok(Message::Binary(bytes)) => Some(Ok(bytes)),
            // A connection that was closed ends the stream next.
            Ok(_) => None,
            Err(error) => Some(Err(io::Error::other(error))),
        })
    });
    let sink = sink.sink_map_err(io::Error::other);
    let sink = sink.with(|bytes: Bytes| future::ready(Ok::<_, io::Error>(Message::Binary(bytes))));
    let writer = FrameWriter(SinkWriter::new(CopyToBytes::new(sink)));
    Box::new(join(StreamReader::new(frames), writer))
}

/// Writes frames of at most [`MAX_FRAME_BYTES`].
struct FrameWriter<W>(W);

impl<W: AsyncWrite + Unpin> AsyncWrite for FrameWriter<W> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let frame = &bytes[..bytes.len().min(MAX_FRAME_BYTES)];
        Poll::Ready(ready!(Pin::new(&mut self.0).poll_write(context, frame)))
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_shutdown(context)
    }
}
