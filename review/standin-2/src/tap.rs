//! Proxy before an instance, which cuts the path of single hosts to it. Hosts are told apart by the process that owns the
//! other end of a connection.

use std::{
    collections::BTreeMap,
    fs,
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

/// The processes that are told apart, by name.
pub type Owners = Arc<Mutex<Vec<(String, u32)>>>;

/// A proxy on loopback.
#[derive(Clone)]
pub struct Tap {
    target: SocketAddr,
    owners: Owners,
    cut: Arc<Mutex<Option<String>>>,
    used: Arc<Mutex<Vec<(Instant, String)>>>,
    /// Where it listens.
    pub address: SocketAddr,
}

impl Tap {
    /// Starts a proxy before `target`.
    pub fn start(target: SocketAddr, owners: Owners) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let tap = Self { target, owners, cut: Arc::default(), used: Arc::default(), address };
        let server = tap.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = server.clone();
                thread::spawn(move || server.serve(stream));
            }
        });
        tap
    }

    /// Cuts the path of a host, or heals it. Nothing passes meanwhile, and nothing is reset. What a cut connection holds is
    /// lost: its sender gives it up before the path heals.
    pub fn set_cut(&self, host: Option<&str>) {
        *self.cut.lock().expect("lock is not poisoned") = host.map(str::to_owned);
    }

    /// Returns how much each host has sent since `since`.
    pub fn used(&self, since: Instant) -> BTreeMap<String, usize> {
        let mut counts = BTreeMap::new();
        let used = self.used.lock().expect("lock is not poisoned");
        let recent = used.iter().filter(|(at, _)| *at >= since);
        recent.for_each(|(_, host)| *counts.entry(host.clone()).or_default() += 1);
        counts
    }

    fn is_cut(&self, host: &str) -> bool {
        self.cut.lock().expect("lock is not poisoned").as_deref() == Some(host)
    }

    fn serve(&self, near: TcpStream) {
        let Ok(peer) = near.peer_addr() else { return };
        let host = self.owner(peer.port()).unwrap_or_default();
        let Ok(far) = TcpStream::connect(self.target) else { return };
        let _ = (near.set_nodelay(true), far.set_nodelay(true));
        let (Ok(near_reader), Ok(far_reader)) = (near.try_clone(), far.try_clone()) else { return };
        let (back, name) = (self.clone(), host.clone());
        let reply = thread::spawn(move || back.forward(far_reader, near, &name, false));
        self.forward(near_reader, far, &host, true);
        let _ = reply.join();
    }

    fn forward(&self, mut from: TcpStream, mut to: TcpStream, host: &str, is_request: bool) {
        let mut buffer = vec![0; 16 << 10];
        loop {
            let length = from.read(&mut buffer).unwrap_or(0);
            let is_lost = self.is_cut(host);
            while self.is_cut(host) {
                thread::sleep(Duration::from_millis(50));
            }
            if is_request && length > 0 && !is_lost {
                let mut used = self.used.lock().expect("lock is not poisoned");
                used.push((Instant::now(), host.to_owned()));
            }
            if is_lost || length == 0 || to.write_all(&buffer[..length]).is_err() {
                let _ = (
                    from.shutdown(std::net::Shutdown::Both),
                    to.shutdown(std::net::Shutdown::Both),
                );
                return;
            }
        }
    }

    /// Returns the name of the process that owns the connection from `port`.
    fn owner(&self, port: u16) -> Option<String> {
        let table = fs::read_to_string("/proc/net/tcp").ok()?;
        let row = table.lines().skip(1).find(|row| {
            let mut ends = row.split_whitespace().skip(1).take(2).map(port_of);
            ends.next().flatten() == Some(port)
                && ends.next().flatten() == Some(self.address.port())
        })?;
        let link = format!("socket:[{}]", row.split_whitespace().nth(9)?);
        let owners = self.owners.lock().expect("lock is not poisoned").clone();
        let owns = |process: u32| {
            let files = fs::read_dir(format!("/proc/{process}/fd")).into_iter().flatten().flatten();
            files
                .flat_map(|file| fs::read_link(file.path()))
                .any(|path| path.as_os_str() == link.as_str())
        };
        owners.into_iter().find(|(_, process)| owns(*process)).map(|(name, _)| name)
    }
}

/// Returns the port of an address as the system writes it.
fn port_of(address: &str) -> Option<u16> {
    u16::from_str_radix(address.split(':').nth(1)?, 16).ok()
}
