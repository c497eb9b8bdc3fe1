//! Challenge-response authentication with the key that all daemons share.
//!
//! Each end sends a nonce and then an HMAC of its side, both nonces and both host ids. The key
//! itself is never sent. Frames after the handshake are not signed: the network between the hosts
//! is trusted not to hijack connections.

use hmac::{Hmac, KeyInit, Mac};
use serde::{Deserialize, Serialize};
use sha2::Sha256;
use vanetally_types::{HostId, Name};

/// A challenge with its sender.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// The sender.
    pub from: HostId,
    /// Random number, used only once.
    pub nonce: [u8; 16],
}

impl Hello {
    /// Creates a challenge of `from` with a new nonce.
    pub fn new(from: HostId) -> Self {
        Self { from, nonce: rand::random() }
    }
}

/// The end of a link that proves that it knows the key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    /// The end that connected.
    Dialer,
    /// The end that accepted.
    Acceptor,
}

/// Returns the HMAC with which `side` answers the challenges `dialer` and `acceptor`.
pub fn prove(key: &Name, side: Side, dialer: &Hello, acceptor: &Hello) -> Vec<u8> {
    mac(key, side, dialer, acceptor).finalize().into_bytes().to_vec()
}

/// Whether `proof` equals the result of [`prove`]; compares in constant time.
pub fn verify(key: &Name, side: Side, dialer: &Hello, acceptor: &Hello, proof: &[u8]) -> bool {
    mac(key, side, dialer, acceptor).verify_slice(proof).is_ok()
}

fn mac(key: &Name, side: Side, dialer: &Hello, acceptor: &Hello) -> Hmac<Sha256> {
    // HMAC accepts keys of any length.
    let mut mac = Hmac::<Sha256>::new_from_slice(key.as_bytes()).unwrap_or_else(|_| unreachable!());
    mac.update(match side {
        Side::Dialer => b"dialer",
        Side::Acceptor => b"acceptor",
    });
    for hello in [dialer, acceptor] {
        mac.update(&hello.nonce);
        mac.update(&hello.from.incarnation.to_le_bytes());
        mac.update(&(hello.from.name.len() as u64).to_le_bytes());
        mac.update(hello.from.name.as_bytes());
    }
    mac
}
