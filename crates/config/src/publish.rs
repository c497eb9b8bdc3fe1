//! Putting a new catalog in place of the present one, by compare-and-swap.
//!
//! A state machine, so that the tool and the model check drive the same steps. Whatever answers
//! are lost, the writer ends up knowing whether its change took effect.

use crate::{Catalog, Revision, catalog::MAX_EARLIER};
use std::sync::Arc;
use vanetally_types::Name;

/// The head as the platform holds it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Head {
    /// The platform's version; 0 when there is none.
    pub version: u64,
    /// The revision; number 0 when there is none.
    pub revision: Arc<Revision>,
}

/// What happens to a publication.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// The head was read.
    Read(Head),
    /// The write took effect.
    Written,
    /// The write had no effect.
    Conflict,
    /// The platform did not answer.
    NoAnswer,
}

/// What the writer is to do next.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Step {
    /// Read the head.
    Read,
    /// Write by compare-and-swap on `base`.
    Write {
        /// The version to replace.
        base: u64,
        /// The revision to write.
        revision: Arc<Revision>,
    },
    /// The platform did not answer: wait, then read the head.
    Wait,
    /// The change is in effect under this number.
    Applied(u64),
    /// The present catalog says the same already.
    Unchanged(u64),
    /// Somebody else changed the head first; this change had no effect.
    Conflict(Arc<Revision>),
}

/// One attempt to publish a catalog.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Publication {
    change: Name,
    catalog: Catalog,
    /// The number that the operator looked at; `None` for whatever is read first.
    base: Option<u64>,
    /// Numbers must exceed this one, which hosts are known to follow.
    floor: u64,
    /// The write that may have taken effect.
    sent: Option<(u64, Arc<Revision>)>,
}

impl Publication {
    /// A change named `change` on top of the revision `base`, numbered above `floor`.
    pub fn new(change: Name, catalog: Catalog, base: Option<u64>, floor: u64) -> Self {
        Self { change, catalog, base, floor, sent: None }
    }

    /// The first step.
    pub fn start(&self) -> Step {
        Step::Read
    }

    /// What follows from `event`.
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
        let present = &head.revision;
        if present.change == self.change || present.earlier.contains(&self.change) {
            let number = self.sent.as_ref().map_or(present.number, |(_, r)| r.number);
            return Step::Applied(number);
        }
        if let Some((base, revision)) = &self.sent {
            // The same write again: it has no effect if the first one had.
            return match *base == head.version {
                true => Step::Write { base: *base, revision: revision.clone() },
                false => Step::Conflict(present.clone()),
            };
        }
        if self.base.is_some_and(|b| b != present.number) {
            return Step::Conflict(present.clone());
        }
        if present.catalog == self.catalog && present.number >= self.floor.max(1) {
            return Step::Unchanged(present.number);
        }
        let revision = Arc::new(self.revision_after(present));
        self.sent = Some((head.version, revision.clone()));
        Step::Write { base: head.version, revision }
    }

    fn revision_after(&self, present: &Revision) -> Revision {
        let mut earlier = vec![present.change.clone()];
        earlier.extend(present.earlier.iter().cloned());
        earlier.retain(|change| !change.is_empty());
        earlier.truncate(MAX_EARLIER);
        Revision {
            number: present.number.max(self.floor) + 1,
            change: self.change.clone(),
            earlier,
            catalog: self.catalog.clone(),
        }
    }
}
