//! Pool of persistent HTTP connections.

use crate::{
    bounded_stream::{Answers, BoundedStream},
    clock::Clock,
    tunnels::OpenTunnel,
};
use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::{
    body::Incoming,
    client::conn::{
        TrySendError,
        http1::{self, SendRequest},
    },
};
use hyper_util::rt::TokioIo;
use std::{
    cell::RefCell,
    collections::{HashMap, VecDeque},
    io,
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};
use tokio::io::{AsyncRead, AsyncWrite};
use vanetally_answer::Malformed;
use vanetally_callers::CALLER_READ_BYTES;
use vanetally_link::{carried_ids::CarriedIds, socket};
use vanetally_reach::Path;
use vanetally_types::{Name, Tick};

/// A connection without a request in progress.
pub(crate) struct Connection {
    pub sender: Sender,
    /// Whether it has carried a request before.
    pub is_used: bool,
    /// The requests that it has carried.
    pub carried: CarriedIds,
    address: SocketAddr,
    /// Counts the connection as open until dropped.
    _open: OpenGuard,
    /// The tunnel through which it passes, if any.
    tunnel: Option<OpenTunnel>,
}

impl Connection {
    fn new(sender: Sender, open: OpenGuard, tunnel: Option<OpenTunnel>) -> Self {
        let (address, carried) = (open.address, CarriedIds::default());
        Self { sender, is_used: false, carried, address, _open: open, tunnel }
    }

    /// Returns the host through which the connection passes, if it is a tunnel.
    pub(crate) fn exit(&self) -> Option<&Name> {
        self.tunnel.as_ref().map(|tunnel| &tunnel.exit)
    }

    /// Whether the connection may carry another request.
    fn may_reuse(&self) -> bool {
        let is_open = self.tunnel.as_ref().is_none_or(OpenTunnel::may_reuse);
        is_open && !self.carried.is_full()
    }

    /// Returns the path of the connection.
    pub(crate) fn path(&self) -> Path {
        if self.tunnel.is_some() { Path::Exit } else { Path::Direct }
    }
}

struct Idle {
    connection: Connection,
    since: Tick,
    until: Tick,
    /// Whether the upstream states how long it keeps the connection.
    is_told: bool,
}

#[derive(Default)]
struct AddressPool {
    idle: VecDeque<Idle>,
    open: usize,
    /// Longest time for which a connection was idle and still open, in milliseconds.
    longest_rest_ms: u64,
    /// When the idle connections were last looked at.
    checked: Tick,
}

impl AddressPool {
    /// Records how long the connections that are still open were idle when they were last looked at: whether one was closed
    /// since, during a pause of this process for instance, may not be known yet.
    fn record_rests(&mut self, now: Tick) {
        if now.since(self.checked) < REST_CHECK_MS {
            return;
        }
        let open = self.idle.iter().filter(|idle| !idle.connection.sender.is_closed());
        let rests = open.map(|idle| self.checked.since(idle.since));
        self.longest_rest_ms = rests.fold(self.longest_rest_ms, u64::max);
        self.checked = now;
    }

    /// Whether the upstream is unlikely to close `idle` just as a request is sent on it, which would then be lost.
    fn is_safe(&self, idle: &Idle, now: Tick) -> bool {
        let rest_ms = now.since(idle.since);
        idle.is_told || rest_ms * REST_MARGIN <= self.longest_rest_ms
    }
}

type AddressPools = Rc<RefCell<HashMap<SocketAddr, AddressPool>>>;

/// The pooled connections of all addresses.
#[derive(Clone)]
pub(crate) struct Pool {
    addresses: AddressPools,
    clock: Clock,
    /// Whether what the connections hold is bounded.
    is_bounded: bool,
}

/// Guard that counts one open connection to an address.
pub(crate) struct OpenGuard {
    addresses: AddressPools,
    address: SocketAddr,
}

impl Drop for OpenGuard {
    fn drop(&mut self) {
        // While the map is borrowed mutably, connections are only moved, never dropped.
        if let Ok(mut addresses) = self.addresses.try_borrow_mut()
            && let Some(pool) = addresses.get_mut(&self.address)
        {
            pool.open = pool.open.saturating_sub(1);
        }
    }
}

/// Why no connection is available.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Error {
    /// The limit of open connections to the address is reached.
    #[error("connection limit reached")]
    Exhausted,
    /// The TCP connection failed.
    #[error("connect: {0}")]
    Connect(#[from] io::Error),
    /// The HTTP handshake failed.
    #[error("handshake: {0}")]
    Handshake(#[from] hyper::Error),
}

/// Maximum idle time of a pooled connection, unless the upstream states less.
const MAX_IDLE: Duration = Duration::from_millis(2_500);
/// Safety margin subtracted from the idle timeout stated by an upstream.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(700);
/// Where an upstream states no idle timeout, connections have stayed open for so many times as long as one may be idle
/// before a request that may not be repeated.
const REST_MARGIN: u64 = 2;
/// Minimum time between two looks at idle connections, in milliseconds, in which the closed ones are noticed.
const REST_CHECK_MS: u64 = 20;

impl Pool {
    /// Creates an empty pool for calls to the store, whose answers are large.
    pub(crate) fn new(clock: Clock) -> Self {
        Self { addresses: AddressPools::default(), clock, is_bounded: false }
    }

    /// Creates an empty pool for upstreams, of which there are many and any may be faulty: what its connections hold is
    /// bounded.
    pub(crate) fn to_upstreams(clock: Clock) -> Self {
        Self { is_bounded: true, ..Self::new(clock) }
    }

    /// Returns a pooled connection to `address`, or opens one if fewer than `max_open` are open.
    pub(crate) async fn get(
        &self,
        address: SocketAddr,
        max_open: usize,
    ) -> Result<Connection, Error> {
        if let Some(idle) = self.take_idle(address, true, |_| true) {
            return Ok(idle);
        }
        self.connect(address, max_open).await
    }

    /// Opens a connection to `address` if fewer than `max_open` are open.
    pub(crate) async fn connect(
        &self,
        address: SocketAddr,
        max_open: usize,
    ) -> Result<Connection, Error> {
        self.connect_within(address, max_open, socket::CONNECT_TIMEOUT).await
    }

    /// Opens a connection to `address` within `limit` if fewer than `max_open` are open.
    pub(crate) async fn connect_within(
        &self,
        address: SocketAddr,
        max_open: usize,
        limit: Duration,
    ) -> Result<Connection, Error> {
        let open = self.open(address, max_open)?;
        let stream = match self.is_bounded {
            true => socket::connect_bounded(address, limit).await?,
            false => socket::connect_within(address, limit).await?,
        };
        let sender = self.start(stream).await?;
        Ok(Connection::new(sender, open, None))
    }

    /// Counts a connection to `address` as open if fewer than `max_open` are. An idle one makes room for it: it is not
    /// suitable, or would have been used.
    pub(crate) fn open(&self, address: SocketAddr, max_open: usize) -> Result<OpenGuard, Error> {
        drop(self.take_excess(address, max_open));
        let mut addresses = self.addresses.borrow_mut();
        let pool = addresses.entry(address).or_default();
        if pool.open >= max_open {
            return Err(Error::Exhausted);
        }
        pool.open += 1;
        Ok(OpenGuard { addresses: self.addresses.clone(), address })
    }

    /// Takes the oldest idle connection to `address` out of the pool if `max_open` are open.
    fn take_excess(&self, address: SocketAddr, max_open: usize) -> Option<Idle> {
        let mut addresses = self.addresses.borrow_mut();
        let pool = addresses.get_mut(&address).filter(|pool| pool.open >= max_open)?;
        pool.idle.pop_front()
    }

    /// Returns the connection that was counted as `open` and passes through a tunnel.
    pub(crate) async fn connect_through(
        &self,
        open: OpenGuard,
        stream: impl AsyncRead + AsyncWrite + Unpin + 'static,
        tunnel: OpenTunnel,
    ) -> Result<Connection, Error> {
        let sender = self.start(stream).await?;
        Ok(Connection::new(sender, open, Some(tunnel)))
    }

    async fn start(
        &self,
        stream: impl AsyncRead + AsyncWrite + Unpin + 'static,
    ) -> Result<Sender, hyper::Error> {
        let max_read = if self.is_bounded { CALLER_READ_BYTES } else { usize::MAX };
        start_with(stream, max_read).await
    }

    /// Returns a pooled connection to `address` that is `wanted`, for a request that may be repeated or not.
    pub(crate) fn take_idle(
        &self,
        address: SocketAddr,
        may_repeat: bool,
        wanted: impl Fn(&Connection) -> bool,
    ) -> Option<Connection> {
        let now = self.clock.now();
        let mut expired = Vec::new();
        let mut found = None;
        {
            let mut addresses = self.addresses.borrow_mut();
            let pool = addresses.get_mut(&address)?;
            pool.record_rests(now);
            let is_wanted = |pool: &AddressPool| {
                let is_safe = |idle: &Idle| may_repeat || pool.is_safe(idle, now);
                pool.idle.iter().rposition(|idle| is_safe(idle) && wanted(&idle.connection))
            };
            while let Some(index) = is_wanted(pool)
                && let Some(idle) = pool.idle.remove(index)
            {
                let may_reuse = idle.connection.may_reuse();
                if idle.until > now && may_reuse && idle.connection.sender.is_ready() {
                    found = Some(idle.connection);
                    break;
                }
                expired.push(idle);
            }
        }
        drop(expired);
        found
    }

    /// Returns a connection to the pool after a complete response. `keep_alive` is the idle timeout
    /// stated by the upstream.
    pub(crate) fn put(&self, mut connection: Connection, keep_alive: Option<Duration>) {
        let is_told = keep_alive.is_some();
        let keep_alive = keep_alive
            .map_or(MAX_IDLE, |keep_alive| keep_alive.saturating_sub(KEEP_ALIVE_MARGIN))
            .min(MAX_IDLE);
        let may_reuse = connection.may_reuse() && connection.sender.answers.is_idle();
        if connection.sender.is_closed() || keep_alive.is_zero() || !may_reuse {
            return;
        }
        connection.is_used = true;
        let since = self.clock.now();
        let idle =
            Idle { connection, since, until: since + keep_alive.as_millis() as u64, is_told };
        let mut addresses = self.addresses.borrow_mut();
        if let Some(pool) = addresses.get_mut(&idle.connection.address) {
            pool.idle.push_back(idle);
        }
    }

    /// Closes idle connections that expired or were closed by the peer.
    pub(crate) fn sweep(&self) {
        let now = self.clock.now();
        let mut expired = Vec::new();
        {
            let mut addresses = self.addresses.borrow_mut();
            for pool in addresses.values_mut() {
                pool.record_rests(now);
                let idle = std::mem::take(&mut pool.idle);
                let (keep, closed): (VecDeque<_>, VecDeque<_>) = idle
                    .into_iter()
                    .partition(|i| i.until > now && !i.connection.sender.is_closed());
                pool.idle = keep;
                expired.push(closed);
            }
        }
        drop(expired);
        self.addresses.borrow_mut().retain(|_, pool| pool.open > 0);
    }

    /// Closes the idle tunnels through `exit`.
    pub(crate) fn drop_tunnels(&self, exit: &Name) {
        let is_through = |idle: &Idle| idle.connection.exit() == Some(exit);
        let mut closed = Vec::new();
        for pool in self.addresses.borrow_mut().values_mut() {
            let idle = std::mem::take(&mut pool.idle);
            let (through, keep): (VecDeque<_>, VecDeque<_>) =
                idle.into_iter().partition(is_through);
            pool.idle = keep;
            closed.push(through);
        }
        drop(closed);
    }

    /// Closes the idle connections to `address`, which returned bytes that belong to no request.
    pub(crate) fn drop_idle(&self, address: SocketAddr) {
        let idle = {
            let mut addresses = self.addresses.borrow_mut();
            addresses.get_mut(&address).map(|pool| std::mem::take(&mut pool.idle))
        };
        drop(idle);
    }
}

/// The side of a connection that sends requests.
pub(crate) struct Sender {
    inner: SendRequest<Full<Bytes>>,
    answers: Answers,
}

impl Sender {
    /// Whether the connection takes a request now.
    pub(crate) fn is_ready(&self) -> bool {
        self.inner.is_ready() && self.answers.is_idle()
    }

    /// Returns why the connection brought bytes that are no answer.
    pub(crate) fn malformed(&self) -> Option<Malformed> {
        self.answers.malformed()
    }

    /// Whether the connection is closed.
    pub(crate) fn is_closed(&self) -> bool {
        self.inner.is_closed()
    }

    /// Sends a request and returns the head of its answer.
    pub(crate) async fn send_request(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, hyper::Error> {
        self.answers.expect(request.method());
        self.inner.send_request(request).await
    }

    /// Like [`Sender::send_request`], but returns the request if it was not sent.
    pub(crate) async fn try_send_request(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, TrySendError<Request<Full<Bytes>>>> {
        self.answers.expect(request.method());
        self.inner.try_send_request(request).await
    }
}

/// Starts HTTP on a connection to an upstream that was just opened.
pub(crate) async fn start(
    stream: impl AsyncRead + AsyncWrite + Unpin + 'static,
) -> Result<Sender, hyper::Error> {
    start_with(stream, CALLER_READ_BYTES).await
}

/// Starts HTTP on a connection that was just opened, of which at most `max_read` bytes are read at a time.
async fn start_with(
    stream: impl AsyncRead + AsyncWrite + Unpin + 'static,
    max_read: usize,
) -> Result<Sender, hyper::Error> {
    let answers = Answers::default();
    let stream = BoundedStream::new(stream, answers.clone(), max_read);
    let (inner, connection) = http1::handshake(TokioIo::new(stream)).await?;
    tokio::task::spawn_local(async move {
        // A connection error is also returned to the request waiting on it.
        let _ = connection.await;
    });
    Ok(Sender { inner, answers })
}
