//! Which host paces an engine.

use std::collections::BTreeMap;
use vanetally_types::{Name, Tick, hash64, rendezvous_rank};

/// The hosts that may be pacers, as one of them sees it.
#[derive(Clone, Debug)]
pub struct Pacers {
    me: Name,
    others: Vec<Name>,
    /// Hosts that did not answer, and until when they are passed over.
    silent: BTreeMap<Name, Tick>,
}

/// A host that did not answer is passed over for this long, in milliseconds.
const SILENT_MS: u64 = 1_000;

impl Pacers {
    /// Only this host is known.
    pub fn new(me: Name) -> Self {
        Self { me, others: Vec::new(), silent: BTreeMap::new() }
    }

    /// The other hosts that live.
    pub fn set_others(&mut self, others: Vec<Name>) {
        self.others = others;
    }

    /// A host did not answer in time.
    pub fn note_silent(&mut self, now: Tick, host: &Name) {
        self.silent.insert(host.clone(), now + SILENT_MS);
    }

    /// The host that paces `upstream`; this one if no other does.
    pub fn pacer_of(&mut self, now: Tick, upstream: &Name) -> &Name {
        self.silent.retain(|_, until| now < *until);
        let silent = &self.silent;
        let others = self.others.iter().filter(|host| !silent.contains_key(*host));
        let hosts = others.chain([&self.me]);
        rendezvous_rank(hash64(upstream.as_bytes()), hosts)[0]
    }
}
