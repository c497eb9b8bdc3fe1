//! The network of the cases: proxies between the gateways, the runners and the store, and a partition of one machine.
//!
//! A partition loses packets silently. What a sender wrote into it is sent again as TCP does, after 0.2, 0.6, 1.4 and
//! 3.0 s, unless the sender has reset the connection; after four seconds without an acknowledgement the gateways'
//! connections are at their end. Connections that are opened into a partition never come about: their bytes go nowhere.

use crate::{http::Reader, site::Record};
use serde_json::Value;
use std::{
    collections::HashMap,
    io::{ErrorKind, Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

/// Times at which a packet is sent again, counted from the first time.
const RETRANSMISSIONS_MS: [u64; 5] = [0, 200, 600, 1_400, 3_000];
/// Longest time for which the proxies read at once.
const POLL: Duration = Duration::from_millis(20);

/// Which machine is cut off, shared by all proxies.
#[derive(Clone, Default)]
pub struct Network {
    /// Number of the machine, counted from one; zero: none.
    cut: Arc<AtomicUsize>,
}

impl Network {
    /// Cuts a machine off from all others, from the store and from all runners.
    pub fn cut_off(&self, machine: usize) {
        self.cut.store(machine + 1, Ordering::SeqCst);
    }

    /// Ends the partition.
    pub fn heal(&self) {
        self.cut.store(0, Ordering::SeqCst);
    }

    fn is_cut(&self, ends: &[usize]) -> bool {
        let cut = self.cut.load(Ordering::SeqCst);
        ends.iter().any(|end| end + 1 == cut)
    }

    /// Starts a proxy to `target` for connections whose ends are these machines (one, or two); returns its address.
    pub fn proxy(&self, ends: &[usize], target: SocketAddr, record: &Record) -> SocketAddr {
        let listener = TcpListener::bind(("127.0.0.1", 0)).expect("a free port");
        let address = listener.local_addr().expect("an address");
        let (network, ends, record) = (self.clone(), ends.to_vec(), record.clone());
        thread::spawn(move || {
            for client in listener.incoming().flatten() {
                let (network, ends, record) = (network.clone(), ends.clone(), record.clone());
                thread::spawn(move || network.serve(&ends, client, target, &record));
            }
        });
        address
    }

    fn serve(&self, ends: &[usize], mut client: TcpStream, target: SocketAddr, record: &Record) {
        if self.is_cut(ends) {
            let _ = client.set_read_timeout(Some(Duration::from_secs(5)));
            let mut bytes = [0; 4_096];
            while client.read(&mut bytes).is_ok_and(|count| count > 0) {}
            return;
        }
        let Ok(server) = TcpStream::connect(target) else {
            return;
        };
        let _ = (client.set_nodelay(true), server.set_nodelay(true));
        let (Ok(from_client), Ok(to_client)) = (client.try_clone(), client.try_clone()) else {
            return;
        };
        let Ok(to_server) = server.try_clone() else {
            return;
        };
        thread::scope(|scope| {
            scope.spawn(|| self.forward(ends, from_client, to_server, record));
            scope.spawn(|| self.forward(ends, server, to_client, record));
        });
    }

    /// Forwards the bytes of one direction until it ends.
    fn forward(&self, ends: &[usize], mut from: TcpStream, mut to: TcpStream, record: &Record) {
        let mut bytes = vec![0; 16_384];
        loop {
            let read = from.read(&mut bytes);
            let sent = Instant::now();
            let count = match read {
                Ok(count) => count,
                Err(error) if error.kind() == ErrorKind::Interrupted => continue,
                Err(_) => break,
            };
            if !self.deliver_after(ends, sent, &from) {
                break;
            }
            if sent.elapsed() > POLL && count > 0 {
                record.add(&format!(
                    "the network delivers {count} bytes after {} ms",
                    sent.elapsed().as_millis()
                ));
            }
            if count == 0 {
                let _ = to.shutdown(Shutdown::Write);
                return;
            }
            if to.write_all(&bytes[..count]).is_err() {
                break;
            }
        }
        let _ = (from.shutdown(Shutdown::Both), to.shutdown(Shutdown::Both));
    }

    /// Waits until a packet that was first sent at `sent` gets through; returns whether it does.
    fn deliver_after(&self, ends: &[usize], sent: Instant, from: &TcpStream) -> bool {
        for after in RETRANSMISSIONS_MS {
            let at = sent + Duration::from_millis(after);
            thread::sleep(at.saturating_duration_since(Instant::now()));
            if is_reset(from) {
                return false;
            }
            if !self.is_cut(ends) {
                return true;
            }
        }
        false
    }
}

/// Whether the sender has reset its connection, so that nothing of it is sent any more.
fn is_reset(stream: &TcpStream) -> bool {
    let _ = stream.set_nonblocking(true);
    let peeked = stream.peek(&mut [0]);
    let _ = stream.set_nonblocking(false);
    peeked.is_err_and(|error| error.kind() != ErrorKind::WouldBlock)
}

/// Addresses that a machine finds in the store, and those under which it reaches them through its proxies.
pub type Rewrites = Arc<Mutex<HashMap<String, String>>>;

/// Starts the way of a machine to the store; returns its address. In what the store answers, addresses are replaced by
/// those of the machine's proxies.
pub fn store_front(
    network: &Network,
    machine: usize,
    store: SocketAddr,
    rewrites: Rewrites,
    record: &Record,
) -> SocketAddr {
    let listener = TcpListener::bind(("127.0.0.1", 0)).expect("a free port");
    let inner = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for client in listener.incoming().flatten() {
            let rewrites = rewrites.clone();
            thread::spawn(move || relay(client, store, &rewrites));
        }
    });
    network.proxy(&[machine], inner, record)
}

/// Passes calls on to the store, and its answers back.
fn relay(mut client: TcpStream, store: SocketAddr, rewrites: &Rewrites) -> Option<()> {
    let _ = client.set_nodelay(true);
    let mut server = TcpStream::connect(store).ok()?;
    let _ = server.set_nodelay(true);
    let mut calls = Reader::new(client.try_clone().ok()?);
    let mut answers = Reader::new(server.try_clone().ok()?);
    while let Ok(Some(call)) = calls.request() {
        let mut bytes = format!("{}\r\n", call.first);
        call.headers
            .iter()
            .for_each(|(name, value)| bytes.push_str(&format!("{name}: {value}\r\n")));
        let mut bytes = (bytes + "\r\n").into_bytes();
        bytes.extend(&call.body);
        server.write_all(&bytes).ok()?;
        let mut answer = answers.head().ok()??;
        answers.body(&mut answer, true).ok()?;
        let body = rewrite(&answer.body, rewrites);
        let mut bytes = format!("{}\r\n", answer.first);
        let others = answer.headers.iter().filter(|(name, _)| name != "content-length");
        others.for_each(|(name, value)| bytes.push_str(&format!("{name}: {value}\r\n")));
        let mut bytes = (bytes + &format!("content-length: {}\r\n\r\n", body.len())).into_bytes();
        bytes.extend(body);
        client.write_all(&bytes).ok()?;
    }
    Some(())
}

fn rewrite(body: &[u8], rewrites: &Rewrites) -> Vec<u8> {
    let Ok(mut answer) = serde_json::from_slice::<Value>(body) else {
        return body.to_vec();
    };
    for rows in ["items", "events"] {
        for row in answer[rows].as_array_mut().into_iter().flatten() {
            let Some(value) = row["value"].as_str().and_then(base64_decode) else {
                continue;
            };
            let mut text = String::from_utf8_lossy(&value).into_owned();
            for (from, to) in rewrites.lock().expect("no panic").iter() {
                text = text.replace(&format!("\"{from}\""), &format!("\"{to}\""));
            }
            row["value"] = base64_encode(text.as_bytes()).into();
        }
    }
    answer.to_string().into_bytes()
}

const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

fn base64_encode(bytes: &[u8]) -> String {
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let number =
            (0..3).fold(0u32, |all, at| all << 8 | u32::from(*group.get(at).unwrap_or(&0)));
        for at in 0..4 {
            let is_padding = at > group.len();
            let sign = ALPHABET[(number >> (18 - 6 * at) & 63) as usize];
            text.push(if is_padding { '=' } else { char::from(sign) });
        }
    }
    text
}

fn base64_decode(text: &str) -> Option<Vec<u8>> {
    let mut bytes = Vec::new();
    for group in text.trim_end_matches('=').as_bytes().chunks(4) {
        let mut number = 0u32;
        for at in 0..4 {
            let sign = group
                .get(at)
                .map_or(Some(0), |sign| ALPHABET.iter().position(|known| known == sign))?;
            number = number << 6 | sign as u32;
        }
        let all = [(number >> 16) as u8, (number >> 8) as u8, number as u8];
        bytes.extend(&all[..group.len().saturating_sub(1)]);
    }
    Some(bytes)
}
