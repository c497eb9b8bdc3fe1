//! The search of a starting host for an entry point of its failure domain.
//!
//! The search is a sequence of steps: the caller carries out one and passes its result to get the next. A host turns to
//! any entry point of its domain, and becomes one only if there is none or if it has the first turn: a small domain has
//! fewer hosts than entry keys. An entry point turns to an older one if there is any, so that the oldest alone reads the
//! store.

use crate::entry::{entry_delay_ms, entry_key, max_lease_wait_ms};
use std::collections::BTreeSet;
use vanetally_ports::Revision;
use vanetally_types::{Name, hash64, rendezvous};

/// Failed attempts in a row after which a host lists all hosts instead.
const MAX_FAILURES: u32 = 5;
/// How often a host turns again to entry points that did not answer: after a power failure they start as well.
const MAX_REPEATS: u32 = 1;
/// Maximum number of reads in one attempt.
const MAX_READS: u32 = 3;

/// A host that has written itself into an entry key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntryPoint {
    /// Failure domain of the key.
    pub domain: Name,
    /// Number of the key.
    pub number: u64,
    /// The host named by the key, `None` if the value is unreadable.
    pub host: Option<Name>,
    /// Revision of the key.
    pub revision: Revision,
}

/// What a starting host does next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EntryStep {
    /// Wait for the lease of this host's own key, for this many milliseconds at most.
    AwaitLease(u64),
    /// Wait for this many milliseconds.
    Pause(u64),
    /// Read the entry keys of all failure domains.
    Read,
    /// Write this host into its entry key if the key still has this revision.
    Claim(Revision),
    /// The attempt has ended.
    End(EntryEnd),
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EntryEnd {
    /// Another host is the entry point: the one at this position of the entry points last read.
    Found(usize),
    /// This host has become an entry point. It turns to the host at this position of the entry points last read, or reads
    /// the store.
    Claimed(Option<usize>),
    /// This host already was an entry point before its process started: its key, which has this revision, has to be written
    /// with the new lease later. Until then the order of the entry points stays the same.
    Named(Revision, Option<usize>),
    /// The keys could not be read or written, or another host was faster.
    Failed,
    /// Attempts have failed so often that the host has to list all hosts.
    ListHosts,
}

/// The result of a step.
#[derive(Clone, Copy, Debug)]
pub enum EntryResult<'a> {
    /// The wait for the lease has ended; whether there is one.
    LeaseAwaited(bool),
    /// The pause is over.
    Paused,
    /// The entry points of all failure domains, `None` if the store did not answer.
    Read(Option<&'a [EntryPoint]>),
    /// Whether the key was written.
    Written(bool),
}

/// How a host becomes an entry point.
#[derive(Clone, Copy, Debug)]
struct Claim {
    /// The revision of the key to be replaced.
    revision: Revision,
    /// Position of the entry point that it turns to, `None` to read the store.
    source: Option<usize>,
}

/// What a starting host knows of the entry points.
#[derive(Clone, Debug)]
pub struct EntrySearch {
    me: Name,
    domain: Name,
    is_first_start: bool,
    /// Revisions of the keys whose hosts this one has turned to.
    tried: BTreeSet<Revision>,
    /// How often all of them were tried again.
    repeats: u32,
    /// Whether this host has waited for its turn.
    is_in_turn: bool,
    /// How this host becomes an entry point once it has its lease.
    claim: Option<Claim>,
    /// Whether this process has become an entry point.
    has_claimed: bool,
    /// Reads of the current attempt.
    reads: u32,
    /// Failed attempts since the last successful one.
    failures: u32,
}

impl EntrySearch {
    /// Creates the search of the host `me` in the failure domain `domain`. At the first start of a deployment all other hosts start as well.
    pub fn new(me: Name, domain: Name, is_first_start: bool) -> Self {
        Self {
            me,
            domain,
            is_first_start,
            tried: BTreeSet::new(),
            repeats: 0,
            is_in_turn: false,
            claim: None,
            has_claimed: false,
            reads: 0,
            failures: 0,
        }
    }

    /// Begins an attempt; returns its first step.
    pub fn begin(&mut self) -> EntryStep {
        self.claim = None;
        self.reads = 0;
        match self.is_first_start {
            true => self.await_lease(),
            false => self.read(),
        }
    }

    /// Returns the step after one with this result.
    pub fn next(&mut self, result: EntryResult<'_>) -> EntryStep {
        match result {
            EntryResult::LeaseAwaited(has_lease) => match &self.claim {
                Some(claim) if has_lease => EntryStep::Claim(claim.revision),
                Some(_) => self.fail(),
                None => self.await_turn(),
            },
            EntryResult::Paused => self.read(),
            EntryResult::Read(Some(entries)) => self.choose(entries),
            EntryResult::Written(true) => self.claimed(),
            // Another host was faster, and its key can be read.
            EntryResult::Written(false) if self.reads < MAX_READS => self.read(),
            EntryResult::Read(None) | EntryResult::Written(false) => self.fail(),
        }
    }

    fn read(&mut self) -> EntryStep {
        self.reads += 1;
        EntryStep::Read
    }

    /// Waits for this host's turn, once: hosts of earlier turns become entry points meanwhile.
    fn await_turn(&mut self) -> EntryStep {
        let delay_ms = entry_delay_ms(&self.me);
        if std::mem::replace(&mut self.is_in_turn, true) || delay_ms == 0 {
            return self.read();
        }
        EntryStep::Pause(delay_ms)
    }

    fn choose(&mut self, entries: &[EntryPoint]) -> EntryStep {
        self.claim = None;
        let own = self.own(entries);
        let is_named = own.is_some_and(|own| own.host.as_ref() == Some(&self.me));
        let is_first = self.is_in_turn && entry_delay_ms(&self.me) == 0;
        // The other hosts that start turn to a host that a key names. In a large domain the hosts of the first turn
        // share them.
        if is_named || (is_first && own.is_none()) {
            return self.claim(entries);
        }
        if let Some(at) = self.untried(entries) {
            self.tried.insert(entries[at].revision);
            return self.end(EntryEnd::Found(at));
        }
        if !self.is_in_turn {
            return self.await_lease();
        }
        let can_repeat = entries.iter().any(|entry| self.is_local(entry));
        if can_repeat && self.repeats < MAX_REPEATS {
            self.repeats += 1;
            self.tried.clear();
            return self.choose(entries);
        }
        self.claim(entries)
    }

    /// Returns the key that this host may write.
    fn own<'a>(&self, entries: &'a [EntryPoint]) -> Option<&'a EntryPoint> {
        let number = entry_key(&self.me);
        entries.iter().find(|entry| entry.domain == self.domain && entry.number == number)
    }

    fn is_other(&self, entry: &EntryPoint) -> bool {
        entry.host.as_ref().is_some_and(|host| *host != self.me)
    }

    /// Whether this is another entry point of this host's failure domain.
    fn is_local(&self, entry: &EntryPoint) -> bool {
        entry.domain == self.domain && self.is_other(entry)
    }

    fn is_untried(&self, entry: &EntryPoint) -> bool {
        !self.tried.contains(&entry.revision)
    }

    /// Returns the position of the entry point of this domain to turn to: the one of this host's own key if possible,
    /// otherwise one that a hash of the names selects, so that the hosts are spread over all.
    fn untried(&self, entries: &[EntryPoint]) -> Option<usize> {
        let is_usable = |entry: &&EntryPoint| self.is_local(entry) && self.is_untried(entry);
        let own = self.own(entries).filter(is_usable).and_then(|own| own.host.as_ref());
        let hosts = entries.iter().filter(is_usable).filter_map(|entry| entry.host.as_ref());
        let chosen = own.or_else(|| rendezvous(hash64(self.me.as_bytes()), hosts))?;
        entries.iter().position(|entry| is_usable(&entry) && entry.host.as_ref() == Some(chosen))
    }

    /// Returns the position of the oldest entry point that is older than this host's own: of this domain if possible.
    ///
    /// The order keeps entry points from turning to each other.
    fn oldest(&self, entries: &[EntryPoint]) -> Option<usize> {
        let own = self.own(entries).filter(|own| own.host.as_ref() == Some(&self.me));
        let is_older = |entry: &EntryPoint| own.is_none_or(|own| entry.revision < own.revision);
        let is_usable =
            |entry: &EntryPoint| self.is_other(entry) && self.is_untried(entry) && is_older(entry);
        let usable = entries.iter().enumerate().filter(|(_, entry)| is_usable(entry));
        let first = usable.min_by_key(|(_, entry)| (!self.is_local(entry), entry.revision));
        first.map(|(at, _)| at)
    }

    /// Becomes an entry point as soon as this host has its lease.
    fn claim(&mut self, entries: &[EntryPoint]) -> EntryStep {
        let source = self.oldest(entries);
        if let Some(at) = source {
            self.tried.insert(entries[at].revision);
        }
        let own = self.own(entries);
        let is_named = own.is_some_and(|own| own.host.as_ref() == Some(&self.me));
        let revision = own.map(|own| own.revision).unwrap_or_default();
        self.claim = Some(Claim { revision, source });
        if is_named {
            let is_first = !std::mem::replace(&mut self.has_claimed, true);
            self.claim = None;
            return self.end(match is_first {
                true => EntryEnd::Named(revision, source),
                false => EntryEnd::Claimed(source),
            });
        }
        self.await_lease()
    }

    fn claimed(&mut self) -> EntryStep {
        self.has_claimed = true;
        let source = self.claim.take().and_then(|claim| claim.source);
        self.end(EntryEnd::Claimed(source))
    }

    fn await_lease(&self) -> EntryStep {
        EntryStep::AwaitLease(max_lease_wait_ms(self.is_first_start))
    }

    fn end(&mut self, end: EntryEnd) -> EntryStep {
        self.failures = 0;
        EntryStep::End(end)
    }

    fn fail(&mut self) -> EntryStep {
        self.failures += 1;
        EntryStep::End(match self.failures > MAX_FAILURES {
            true => EntryEnd::ListHosts,
            false => EntryEnd::Failed,
        })
    }
}
