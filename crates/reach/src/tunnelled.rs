//! Attempts that pass through exits, and whether the exits still work.

use crate::{AttemptId, upstream::UpstreamPath};
use std::collections::{BTreeMap, HashMap};
use vanetally_types::{Incarnation, Name, Tick};

/// Open attempts that pass through exits.
///
/// The kernel of an exit that is frozen still acknowledges what it receives, so only silence shows it.
#[derive(Clone, Debug, Default)]
pub(crate) struct Tunnelled {
    /// By exit, the open attempts and what was heard of them.
    exits: BTreeMap<Name, UpstreamPath>,
    attempts: HashMap<AttemptId, (Name, Incarnation)>,
}

impl Tunnelled {
    /// Records that an attempt was sent through an exit.
    pub(crate) fn sent(
        &mut self,
        now: Tick,
        attempt: AttemptId,
        upstream: Incarnation,
        exit: Name,
    ) {
        self.exits.entry(exit.clone()).or_default().open.insert(attempt, now);
        self.attempts.insert(attempt, (exit, upstream));
    }

    /// Records that bytes were received through an exit.
    pub(crate) fn heard(&mut self, now: Tick, exit: &Name) {
        if let Some(path) = self.exits.get_mut(exit) {
            path.record_heard(now);
        }
    }

    /// Records the end of an attempt.
    pub(crate) fn ended(&mut self, attempt: AttemptId) {
        let Some((exit, _)) = self.attempts.remove(&attempt) else {
            return;
        };
        if let Some(path) = self.exits.get_mut(&exit) {
            path.open.remove(&attempt);
            if path.open.is_empty() && !path.is_probing {
                self.exits.remove(&exit);
            }
        }
    }

    /// Records whether an exit works; returns the attempts whose answers do not arrive if it does not.
    pub(crate) fn checked(
        &mut self,
        now: Tick,
        exit: &Name,
        works: bool,
    ) -> impl Iterator<Item = AttemptId> + use<> {
        let mut lost = Vec::new();
        if let Some(path) = self.exits.get_mut(exit) {
            path.is_probing = false;
            path.delay_quiet_probe(now);
            if !works {
                lost = path.take_silent(now);
            }
            if path.open.is_empty() {
                self.exits.remove(exit);
            }
        }
        lost.iter().for_each(|attempt| drop(self.attempts.remove(attempt)));
        lost.into_iter()
    }

    /// Returns the exits through which nothing was received for a while, each with an upstream to which
    /// an attempt is open.
    pub(crate) fn take_due(&mut self, now: Tick) -> Vec<(Name, Incarnation)> {
        let mut due = Vec::new();
        for (exit, path) in &mut self.exits {
            let is_due = !path.is_probing && now >= path.next_probe && path.is_silent(now);
            let open = path.open.keys().next().and_then(|attempt| self.attempts.get(attempt));
            if let Some((_, upstream)) = open.filter(|_| is_due) {
                path.is_probing = true;
                due.push((exit.clone(), upstream.clone()));
            }
        }
        due
    }
}
