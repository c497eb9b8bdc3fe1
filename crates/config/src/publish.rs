//! Replacement of the stored catalog by compare-and-swap.
//!
//! It is a state machine that both the command-line tool and the model checker drive. The writer
//! learns whether its change took effect even if answers are lost.

use crate::{Catalog, Revision, catalog::MAX_EARLIER};
use std::sync::Arc;
use vanetally_types::Name;

/// The newest revision stored by the platform.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Head {
    /// Version of the stored value; 0 if there is none.
    pub version: u64,
    /// The revision; its number is 0 if there is none.
    pub revision: Arc<Revision>,
}

/// An input to a publication.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// The head was read.
    Read(Head),
    /// The write took effect.
    Written,
    /// The write had no effect: the head had another version.
    Conflict,
    /// The platform did not answer.
    NoAnswer,
}

/// The next action of the writer.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Step {
    /// Read the head.
    Read,
    /// Write by compare-and-swap on `base`.
    Write {
        /// Version to replace.
        base: u64,
        /// Revision to write.
        revision: Arc<Revision>,
    },
    /// The platform did not answer: wait, then read the head.
    Wait,
    /// The change is in effect under this number.
    Applied(u64),
    /// The stored catalog, of this number, is already the same.
    Unchanged(u64),
    /// Another writer replaced the head first, by this revision; this change had no effect.
    Conflict(Arc<Revision>),
}

/// The publication of one catalog.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Publication {
    change: Name,
    catalog: Catalog,
    /// Number of the revision that the operator has seen; `None` accepts any.
    base: Option<u64>,
    /// Lower bound of the new number: hosts are known to follow this revision.
    floor: u64,
    /// The write that may have taken effect, with its base version.
    sent: Option<(u64, Arc<Revision>)>,
}

impl Publication {
    /// Creates a publication of `change` on top of the revision `base`, numbered above `floor`.
    pub fn new(change: Name, catalog: Catalog, base: Option<u64>, floor: u64) -> Self {
        Self { change, catalog, base, floor, sent: None }
    }

    /// Returns the first step.
    pub fn start(&self) -> Step {
        Step::Read
    }

    /// Handles `event` and returns the next step.
    pub fn next(&mut self, event: Event) -> Step {
        match event {
            Event::Read(head) => self.read(&head),
            Event::Written => match &self.sent {
                Some((_, revision)) => Step::Applied(revision.number),
                None => Step::Read,
            },
            Event::Conflict => Step::Read,
            Event::NoAnswer => Step::Wait,
        }
    }

    fn read(&mut self, head: &Head) -> Step {
        let current = &head.revision;
        if current.change == self.change || current.earlier.contains(&self.change) {
            let number = self.sent.as_ref().map_or(current.number, |(_, r)| r.number);
            return Step::Applied(number);
        }
        if let Some((base, revision)) = &self.sent {
            // Repeating the same write is safe: its base is outdated if the first one took effect.
            return match *base == head.version {
                true => Step::Write { base: *base, revision: revision.clone() },
                false => Step::Conflict(current.clone()),
            };
        }
        if self.base.is_some_and(|b| b != current.number) {
            return Step::Conflict(current.clone());
        }
        if current.catalog == self.catalog && current.number >= self.floor.max(1) {
            return Step::Unchanged(current.number);
        }
        let revision = Arc::new(self.revision_after(current));
        self.sent = Some((head.version, revision.clone()));
        Step::Write { base: head.version, revision }
    }

    fn revision_after(&self, current: &Revision) -> Revision {
        let mut earlier = vec![current.change.clone()];
        earlier.extend(current.earlier.iter().cloned());
        earlier.retain(|change| !change.is_empty());
        earlier.truncate(MAX_EARLIER);
        Revision {
            number: current.number.max(self.floor) + 1,
            change: self.change.clone(),
            earlier,
            catalog: self.catalog.clone(),
        }
    }
}
