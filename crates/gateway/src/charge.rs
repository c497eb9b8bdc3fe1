//! Quota that a request was charged.

use crate::hub::Hub;
use std::{cell::Cell, rc::Rc};
use vanetally_dispatch::AttemptEnd;
use vanetally_types::Name;

/// Quota charged for a request; returned on drop unless the request may have run.
pub(crate) struct Charge {
    hub: Rc<Hub>,
    organisation: Name,
    cost: u32,
    /// Whether an attempt is in progress.
    is_in_flight: Cell<bool>,
    /// Whether an earlier attempt may have run.
    may_have_run: Cell<bool>,
}

impl Charge {
    /// Creates the charge of a request that was not sent yet.
    pub(crate) fn new(hub: Rc<Hub>, organisation: Name, cost: u32) -> Self {
        let (is_in_flight, may_have_run) = Default::default();
        Self { hub, organisation, cost, is_in_flight, may_have_run }
    }

    /// Records that the request is being sent to an upstream.
    pub(crate) fn sent(&self) {
        self.is_in_flight.set(true);
    }

    /// Records the end of an attempt.
    pub(crate) fn attempt_ended(&self, end: AttemptEnd) {
        self.is_in_flight.set(false);
        let may_have_run = matches!(
            end,
            AttemptEnd::Served | AttemptEnd::Failed | AttemptEnd::Broken | AttemptEnd::Lost
        );
        self.may_have_run.set(self.may_have_run.get() || may_have_run);
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        if !self.is_in_flight.get() && !self.may_have_run.get() {
            self.hub.refund(&self.organisation, self.cost);
        }
    }
}
