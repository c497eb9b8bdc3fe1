//! The search of a starting host for an entry point of its failure domain.
//!
//! The search is a sequence of steps: the caller carries out one and passes its result to get the next.

use crate::entry::{MAX_LEASE_WAIT_MS, entry_delay_ms, entry_key};
use vanetally_ports::Revision;
use vanetally_types::Name;

/// Failed attempts in a row after which a host lists all hosts instead.
const MAX_FAILURES: u32 = 5;

/// A host that has written itself into an entry key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntryPoint {
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
    /// Read the entry keys of the failure domain.
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
    /// This host has become an entry point.
    Claimed,
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
    /// The entry points of the failure domain, `None` if the store did not answer.
    Read(Option<&'a [EntryPoint]>),
    /// Whether the key was written.
    Written(bool),
}

/// What a starting host knows of the entry points of its failure domain.
#[derive(Clone, Debug)]
pub struct EntrySearch {
    me: Name,
    is_first_start: bool,
    /// Revision of the key whose host this one has turned to.
    tried: Option<Revision>,
    /// Failed attempts since the last successful one.
    failures: u32,
}

impl EntrySearch {
    /// Creates the search of the host `me`. At the first start of a deployment all other hosts start as well.
    pub fn new(me: Name, is_first_start: bool) -> Self {
        Self { me, is_first_start, tried: None, failures: 0 }
    }

    /// Begins an attempt; returns its first step.
    pub fn begin(&mut self) -> EntryStep {
        match self.is_first_start {
            true => EntryStep::AwaitLease(MAX_LEASE_WAIT_MS),
            false => EntryStep::Read,
        }
    }

    /// Returns the step after one with this result.
    pub fn next(&mut self, result: EntryResult<'_>) -> EntryStep {
        match result {
            EntryResult::LeaseAwaited(_) if self.failures == 0 => {
                EntryStep::Pause(entry_delay_ms(&self.me))
            }
            EntryResult::LeaseAwaited(_) | EntryResult::Paused => EntryStep::Read,
            EntryResult::Read(Some(entries)) => self.choose(entries),
            EntryResult::Written(true) => self.end(EntryEnd::Claimed),
            EntryResult::Read(None) | EntryResult::Written(false) => self.fail(),
        }
    }

    fn choose(&mut self, entries: &[EntryPoint]) -> EntryStep {
        let number = entry_key(&self.me);
        let at = entries.iter().position(|entry| entry.number == number);
        let revision = at.map(|at| entries[at].revision);
        let other = at.filter(|at| entries[*at].host.as_ref().is_some_and(|host| *host != self.me));
        match other {
            Some(at) if self.tried != revision => {
                self.tried = revision;
                self.end(EntryEnd::Found(at))
            }
            _ => EntryStep::Claim(revision.unwrap_or_default()),
        }
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
