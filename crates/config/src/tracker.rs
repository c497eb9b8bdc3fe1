//! Which revision a process follows: only checked ones, only newer ones.

use crate::{Revision, check::check};
use std::sync::Arc;
use vanetally_types::Name;

/// Where a revision came from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, serde::Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Source {
    /// The platform's key-value service.
    Platform,
    /// Another daemon.
    Peer,
}

/// What became of an offered revision.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// It is in force from now on.
    Accepted,
    /// It was in force already.
    Unchanged,
    /// It is older than the one in force, or another change under the same number.
    Stale {
        /// The number that was offered.
        offered: u64,
        /// The number that stays in force.
        current: u64,
    },
    /// It fails its check; the one in force stays.
    Invalid(Vec<String>),
}

/// Guards that the model check switches off one at a time to see that it notices.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Guards {
    /// Only a newer revision replaces the one in force.
    pub newer: bool,
    /// Only a revision that passes its check is taken.
    pub valid: bool,
}

impl Default for Guards {
    fn default() -> Self {
        Self { newer: true, valid: true }
    }
}

/// The revision in force in one process.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct RevisionTracker {
    guards: Guards,
    current: Arc<Revision>,
    source: Option<Source>,
    behind: bool,
}

impl RevisionTracker {
    /// A keeper with some guards off, for the model check.
    pub fn with_guards(guards: Guards) -> Self {
        Self { guards, ..Self::default() }
    }

    /// The revision in force; number 0 when there is none yet.
    pub fn current(&self) -> &Arc<Revision> {
        &self.current
    }

    /// Number and change in force, to tell peers.
    pub fn head(&self) -> (u64, Name) {
        (self.current.number, self.current.change.clone())
    }

    /// Where the revision in force came from.
    pub fn source(&self) -> Option<Source> {
        self.source
    }

    /// Whether the platform last showed an older or a conflicting revision.
    pub fn platform_behind(&self) -> bool {
        self.behind
    }

    /// Takes `offered` if it is sound and newer than the one in force.
    pub fn offer(&mut self, offered: Arc<Revision>, source: Source) -> Outcome {
        let outcome = self.judge(&offered);
        if source == Source::Platform {
            self.behind = matches!(outcome, Outcome::Stale { .. });
        }
        if outcome == Outcome::Accepted {
            self.current = offered;
            self.source = Some(source);
        }
        outcome
    }

    fn judge(&self, offered: &Revision) -> Outcome {
        let current = self.current.number;
        if offered.number == current && offered.change == self.current.change {
            return Outcome::Unchanged;
        }
        if offered.number <= current && self.guards.newer {
            return Outcome::Stale { offered: offered.number, current };
        }
        if !self.guards.valid {
            return Outcome::Accepted;
        }
        let faults = check(&offered.catalog);
        if faults.is_empty() { Outcome::Accepted } else { Outcome::Invalid(faults) }
    }
}
