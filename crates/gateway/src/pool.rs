//! Connections to upstreams, kept between requests.

use crate::clock::Clock;
use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use std::{
    cell::RefCell,
    collections::{HashMap, VecDeque},
    io,
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};
use vanetally_link::socket;
use vanetally_types::Tick;

/// A connection that carries no request now.
pub(crate) struct Connection {
    pub sender: SendRequest<Full<Bytes>>,
    /// Whether it carried a request before.
    pub is_used: bool,
    address: SocketAddr,
    /// Counts the connection as open while it lives.
    _open: Open,
}

struct Idle {
    connection: Connection,
    until: Tick,
}

#[derive(Default)]
struct Shelf {
    idle: VecDeque<Idle>,
    open: usize,
}

type Shelves = Rc<RefCell<HashMap<SocketAddr, Shelf>>>;

/// All kept connections, by address.
#[derive(Clone)]
pub(crate) struct Pool {
    shelves: Shelves,
    clock: Clock,
}

/// One open connection at an address.
struct Open {
    shelves: Shelves,
    address: SocketAddr,
}

impl Drop for Open {
    fn drop(&mut self) {
        // While the shelves are being changed, connections are moved, never dropped.
        if let Ok(mut shelves) = self.shelves.try_borrow_mut()
            && let Some(shelf) = shelves.get_mut(&self.address)
        {
            shelf.open = shelf.open.saturating_sub(1);
        }
    }
}

/// Why there is no connection.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Error {
    /// This host's share of the upstream's connections is in use.
    #[error("all connections in use")]
    Exhausted,
    /// None came about.
    #[error("connect: {0}")]
    Connect(#[from] io::Error),
    /// None came about.
    #[error("handshake: {0}")]
    Handshake(#[from] hyper::Error),
}

/// A connection at rest is used again within this time, unless the upstream states less.
const REST: Duration = Duration::from_millis(2_500);
/// Kept back from the rest that an upstream states.
const REST_MARGIN: Duration = Duration::from_millis(700);

impl Pool {
    /// No connections.
    pub(crate) fn new(clock: Clock) -> Self {
        Self { shelves: Shelves::default(), clock }
    }

    /// A connection to `address`: a kept one, or a new one if fewer than `most` are open.
    pub(crate) async fn get(&self, address: SocketAddr, most: usize) -> Result<Connection, Error> {
        if let Some(kept) = self.kept(address) {
            return Ok(kept);
        }
        self.connect(address, most).await
    }

    /// A new connection to `address`, if fewer than `most` are open.
    pub(crate) async fn connect(
        &self,
        address: SocketAddr,
        most: usize,
    ) -> Result<Connection, Error> {
        let open = {
            let mut shelves = self.shelves.borrow_mut();
            let shelf = shelves.entry(address).or_default();
            if shelf.open >= most {
                return Err(Error::Exhausted);
            }
            shelf.open += 1;
            Open { shelves: self.shelves.clone(), address }
        };
        let stream = socket::connect(address).await?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
        tokio::task::spawn_local(async move {
            // How a connection ends is told to whoever waits for an answer on it.
            let _ = connection.await;
        });
        Ok(Connection { sender, is_used: false, address, _open: open })
    }

    fn kept(&self, address: SocketAddr) -> Option<Connection> {
        let now = self.clock.now();
        let mut stale = Vec::new();
        let mut found = None;
        {
            let mut shelves = self.shelves.borrow_mut();
            let shelf = shelves.get_mut(&address)?;
            while let Some(idle) = shelf.idle.pop_back() {
                if idle.until > now && idle.connection.sender.is_ready() {
                    found = Some(idle.connection);
                    break;
                }
                stale.push(idle);
            }
        }
        drop(stale);
        found
    }

    /// Keeps a connection whose answer is whole. `rest` is what the upstream states.
    pub(crate) fn put(&self, mut connection: Connection, rest: Option<Duration>) {
        let rest = rest.map_or(REST, |rest| rest.saturating_sub(REST_MARGIN)).min(REST);
        if connection.sender.is_closed() || rest.is_zero() {
            return;
        }
        connection.is_used = true;
        let idle = Idle { until: self.clock.now() + rest.as_millis() as u64, connection };
        let mut shelves = self.shelves.borrow_mut();
        if let Some(shelf) = shelves.get_mut(&idle.connection.address) {
            shelf.idle.push_back(idle);
        }
    }

    /// Closes what has rested too long or was closed by its peer.
    pub(crate) fn sweep(&self) {
        let now = self.clock.now();
        let mut stale = Vec::new();
        {
            let mut shelves = self.shelves.borrow_mut();
            for shelf in shelves.values_mut() {
                let idle = std::mem::take(&mut shelf.idle);
                let (keep, old): (VecDeque<_>, VecDeque<_>) = idle
                    .into_iter()
                    .partition(|i| i.until > now && !i.connection.sender.is_closed());
                shelf.idle = keep;
                stale.push(old);
            }
        }
        drop(stale);
        self.shelves.borrow_mut().retain(|_, shelf| shelf.open > 0);
    }

    /// Closes the kept connections to `address`: it handed out bytes that belong to no request.
    pub(crate) fn distrust(&self, address: SocketAddr) {
        let idle = {
            let mut shelves = self.shelves.borrow_mut();
            shelves.get_mut(&address).map(|shelf| std::mem::take(&mut shelf.idle))
        };
        drop(idle);
    }
}
