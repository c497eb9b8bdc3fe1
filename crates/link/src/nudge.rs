//! Connections that the HTTP library has accepted and left waiting are taken up.
//!
//! The library hands an accepted connection to a thread that waits for one, and starts a thread only if none
//! waits. Of connections that come at the same moment more are handed over than threads wait; the rest is
//! taken up when some other connection closes, and kept ones stay open for minutes: of 12 callers that came
//! at once, 7 heard nothing. A further connection that is closed at once makes the library start one more
//! thread, which then takes up one that waits.

use std::{
    collections::HashSet,
    net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr, TcpStream},
    sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel},
    thread,
    time::Duration,
};

/// After a new connection's first request this passes until the nudge: the threads that waited have woken up.
const SETTLE: Duration = Duration::from_millis(5);
/// A nudge without any sign, for what came beside a connection that sent no request.
const IDLE: Duration = Duration::from_secs(1);
/// For the connection to come about: it is on the same machine.
const CONNECT: Duration = Duration::from_millis(200);
/// Connections remembered as known; beyond it all are forgotten, which costs one nudge each.
const MOST_KNOWN: usize = 4_096;

/// Tells of requests on new connections.
pub(crate) struct Nudge {
    known: HashSet<SocketAddr>,
    sender: Sender<()>,
}

impl Nudge {
    /// Nudges the server at `address` for as long as this lives.
    pub(crate) fn start(name: &str, address: SocketAddr) -> Self {
        let (sender, receiver) = channel();
        let run = move || keep_on(reachable(address), &receiver);
        if let Err(e) = thread::Builder::new().name(format!("{name}-nudge")).spawn(run) {
            log::error!("event=thread-failed name={name} error=\"{e}\"");
        }
        Self { known: HashSet::new(), sender }
    }

    /// A request came from `peer`.
    pub(crate) fn request_from(&mut self, peer: Option<&SocketAddr>) {
        let Some(peer) = peer else {
            return;
        };
        if self.known.len() >= MOST_KNOWN {
            self.known.clear();
        }
        if self.known.insert(*peer) {
            // Without its thread nobody nudges; that was logged.
            let _ = self.sender.send(());
        }
    }
}

fn keep_on(address: SocketAddr, signs: &Receiver<()>) {
    loop {
        match signs.recv_timeout(IDLE) {
            Ok(()) => thread::sleep(SETTLE),
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return,
        }
        if let Err(e) = TcpStream::connect_timeout(&address, CONNECT) {
            log::debug!("event=nudge-failed address={address} error=\"{e}\"");
        }
    }
}

/// The address under which this machine reaches a server that listens at `address`.
fn reachable(address: SocketAddr) -> SocketAddr {
    let ip = match address.ip() {
        IpAddr::V4(ip) if ip.is_unspecified() => Ipv4Addr::LOCALHOST.into(),
        IpAddr::V6(ip) if ip.is_unspecified() => Ipv6Addr::LOCALHOST.into(),
        ip => ip,
    };
    SocketAddr::new(ip, address.port())
}
