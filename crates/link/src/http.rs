//! An HTTP server with streaming answers.
//!
//! One thread holds all connections, and what they hold stays within the limits of the server. Each exchange runs on its
//! own thread once its request was read. The number of parallel exchanges is limited; further requests are answered with
//! 503 at once.

mod connection;
mod exchange;

pub use exchange::{Exchange, Head, Reply, Stream};
pub use vanetally_admission::{Limits, Timeouts};
pub use vanetally_callers::BodyError;

use crate::socket;
use connection::Service;
use std::{
    net::{SocketAddr, TcpListener},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
};
use tokio::sync::Notify;

/// Limits of a server.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Maximum number of parallel exchanges.
    pub max_exchanges: usize,
    /// Stack size of the thread of an exchange.
    pub stack_bytes: usize,
    /// Maximum size of the body of a request.
    pub max_body_bytes: usize,
    /// What all callers may hold together.
    pub limits: Limits,
    /// Time limits on callers.
    pub timeouts: Timeouts,
}

/// Memory and descriptors of a process whose settings state none.
const DEFAULT_MEMORY_BYTES: u64 = 256_000_000;
const DEFAULT_DESCRIPTORS: u64 = 4_096;

impl Default for Options {
    fn default() -> Self {
        Self {
            max_exchanges: 1_000,
            stack_bytes: 256 * 1024,
            max_body_bytes: 1_000_000,
            limits: Limits::of(DEFAULT_MEMORY_BYTES, DEFAULT_DESCRIPTORS),
            timeouts: Timeouts { head_ms: 10_000, idle_ms: 120_000 },
        }
    }
}

/// A listening server.
pub struct Server {
    listener: TcpListener,
    address: SocketAddr,
}

/// Maximum number of connections that wait to be accepted.
const BACKLOG: i32 = 1_024;
/// Size of the system's receive buffer of a caller's connection. The system takes up to twice as much.
const RECEIVE_BUFFER_BYTES: usize = 32 << 10;

impl Server {
    /// Listens at `address`.
    ///
    /// # Errors
    /// If the address can't be bound.
    pub fn try_bind(address: SocketAddr) -> anyhow::Result<Self> {
        let domain = socket2::Domain::for_address(address);
        let socket = socket2::Socket::new(domain, socket2::Type::STREAM, None)?;
        socket.set_reuse_address(true)?;
        socket.set_nonblocking(true)?;
        // Accepted connections inherit it.
        socket::bound_buffers(&socket, RECEIVE_BUFFER_BYTES);
        socket.bind(&address.into())?;
        socket.listen(BACKLOG)?;
        let listener: TcpListener = socket.into();
        let address = listener.local_addr()?;
        Ok(Self { listener, address })
    }

    /// Returns the address that the server listens at.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Starts serving: `handler` runs for each exchange, on threads named `name`.
    pub fn serve(
        self,
        name: &str,
        options: Options,
        handler: impl Fn(Exchange) + Send + Sync + 'static,
    ) -> Stopper {
        self.serve_checked(name, options, |_| None, handler)
    }

    /// Like [`Server::serve`], but requests for whose head `check` returns an answer get it before their body is read.
    pub fn serve_checked(
        self,
        name: &str,
        options: Options,
        check: impl Fn(&Head) -> Option<Reply> + Send + Sync + 'static,
        handler: impl Fn(Exchange) + Send + Sync + 'static,
    ) -> Stopper {
        let (stop, done) = (Arc::new(Notify::new()), Arc::new(AtomicBool::new(false)));
        let stopper = Stopper { stop: stop.clone(), done: done.clone() };
        let worker = name.to_owned();
        let run = move || {
            let service = Service::new(&worker, options, Box::new(check), Arc::new(handler));
            if let Err(error) = connection::run(self.listener, service, &stop) {
                log::error!("event=server-failed name={worker} error=\"{error}\"");
            }
            done.store(true, Ordering::Release);
        };
        let spawned = thread::Builder::new().name(format!("{name}-accept")).spawn(run);
        if let Err(e) = spawned {
            log::error!("event=thread-failed name={name} error=\"{e}\"");
        }
        stopper
    }
}

/// Stops a server.
pub struct Stopper {
    stop: Arc<Notify>,
    done: Arc<AtomicBool>,
}

impl Stopper {
    /// Stops accepting connections. Answers that were begun are still written; then all connections are closed.
    pub fn stop(&self) {
        self.stop.notify_one();
    }

    /// Whether all answers are written and all connections closed.
    pub fn is_done(&self) -> bool {
        self.done.load(Ordering::Acquire)
    }
}
