//! Selection of the catalog revision that a process follows: only valid and newer ones.

use crate::{Revision, check::check};
use std::sync::Arc;
use vanetally_types::Name;

/// Origin of a revision.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, serde::Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Source {
    /// The platform's key-value service.
    Platform,
    /// Another daemon.
    Peer,
}

/// Result of offering a revision.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// It is now in force.
    Accepted,
    /// It is already in force.
    Unchanged,
    /// It is older than the one in force, or a different change with the same number.
    Stale {
        /// Number of the offered revision.
        offered: u64,
        /// Number of the revision in force.
        current: u64,
    },
    /// It is invalid for these reasons; the one in force stays.
    Invalid(Vec<String>),
}

/// Checks that the model checker disables one at a time, to verify that it detects their absence.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Guards {
    /// A revision must be newer than the one in force.
    pub newer: bool,
    /// A revision must pass validation.
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
    platform_behind: bool,
}

impl RevisionTracker {
    /// Creates a tracker with some guards disabled, for the model checker.
    pub fn with_guards(guards: Guards) -> Self {
        Self { guards, ..Self::default() }
    }

    /// Returns the revision in force; its number is 0 if there is none yet.
    pub fn current(&self) -> &Arc<Revision> {
        &self.current
    }

    /// Returns the number and change id of the revision in force, for announcing to peers.
    pub fn head(&self) -> (u64, Name) {
        (self.current.number, self.current.change.clone())
    }

    /// Returns the origin of the revision in force.
    pub fn source(&self) -> Option<Source> {
        self.source
    }

    /// Whether the last revision read from the platform was older or conflicting.
    pub fn platform_behind(&self) -> bool {
        self.platform_behind
    }

    /// Puts `offered` in force if it is valid and newer than the current one.
    pub fn offer(&mut self, offered: Arc<Revision>, source: Source) -> Outcome {
        let outcome = self.evaluate(&offered);
        if source == Source::Platform {
            self.platform_behind = matches!(outcome, Outcome::Stale { .. });
        }
        if outcome == Outcome::Accepted {
            self.current = offered;
            self.source = Some(source);
        }
        outcome
    }

    fn evaluate(&self, offered: &Revision) -> Outcome {
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
