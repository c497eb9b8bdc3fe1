//! Works around connections that wait in the HTTP library although it could serve them.
//!
//! `tiny_http` queues an accepted connection for an idle thread and starts a new thread only if
//! none is idle. If several connections arrive together, more are queued than threads are idle. The
//! rest wait until another connection closes, which takes minutes with keep-alive: of 12 callers
//! that connected together, 7 got no answer. A further connection, closed at once, makes the
//! library start another thread, which then serves a queued connection.

use std::{
    collections::HashSet,
    net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr, TcpStream},
    sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel},
    thread,
    time::Duration,
};

/// Delay from the first request on a new connection to the extra connection, in which the idle
/// threads wake up.
const SETTLE_DELAY: Duration = Duration::from_millis(5);
/// Interval of extra connections without a new request, for connections queued behind one that
/// sends no request.
const IDLE_INTERVAL: Duration = Duration::from_secs(1);
/// Timeout for connecting; the server is on the same machine.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);
/// Maximum number of known peers. Beyond it all are removed, which costs one extra connection for
/// each.
const MAX_KNOWN_PEERS: usize = 4_096;

/// Opens an extra connection after the first request on each new connection.
pub(crate) struct PoolWaker {
    known_peers: HashSet<SocketAddr>,
    sender: Sender<()>,
}

impl PoolWaker {
    /// Starts the thread that connects to the server at `address` until this is dropped.
    pub(crate) fn start(name: &str, address: SocketAddr) -> Self {
        let (sender, receiver) = channel();
        let run = move || connect_on_requests(reachable(address), &receiver);
        if let Err(e) = thread::Builder::new().name(format!("{name}-nudge")).spawn(run) {
            log::error!("event=thread-failed name={name} error=\"{e}\"");
        }
        Self { known_peers: HashSet::new(), sender }
    }

    /// Notes a request from `peer`.
    pub(crate) fn request_from(&mut self, peer: Option<&SocketAddr>) {
        let Some(peer) = peer else {
            return;
        };
        if self.known_peers.len() >= MAX_KNOWN_PEERS {
            self.known_peers.clear();
        }
        if self.known_peers.insert(*peer) {
            // Fails only if the thread did not start, which has been logged.
            let _ = self.sender.send(());
        }
    }
}

fn connect_on_requests(address: SocketAddr, requests: &Receiver<()>) {
    loop {
        match requests.recv_timeout(IDLE_INTERVAL) {
            Ok(()) => thread::sleep(SETTLE_DELAY),
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return,
        }
        if let Err(e) = TcpStream::connect_timeout(&address, CONNECT_TIMEOUT) {
            log::debug!("event=nudge-failed address={address} error=\"{e}\"");
        }
    }
}

/// Returns the address at which this machine can connect to a server that listens at `address`.
fn reachable(address: SocketAddr) -> SocketAddr {
    let ip = match address.ip() {
        IpAddr::V4(ip) if ip.is_unspecified() => Ipv4Addr::LOCALHOST.into(),
        IpAddr::V6(ip) if ip.is_unspecified() => Ipv6Addr::LOCALHOST.into(),
        ip => ip,
    };
    SocketAddr::new(ip, address.port())
}
