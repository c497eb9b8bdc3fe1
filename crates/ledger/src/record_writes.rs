//! Writes of the record of a runner that does not check orders.

use crate::{Action, Epoch, LeaderState, Ledger, Order, Record};
use vanetally_types::Tick;

impl Ledger {
    /// Writes the record with the present open intents.
    pub(crate) fn write_record(&mut self, actions: &mut Vec<Action>) {
        self.seq += 1;
        let record = Record {
            term: self.term,
            holder: self.host_id.clone(),
            seq: self.seq,
            open: self.open_intents.clone(),
        };
        self.record_stale = false;
        self.pending_write = Some(record.clone());
        actions.push(Action::Write(record));
    }

    /// Handles a confirmed write: opens the leadership, or sends the order whose intent it
    /// contains.
    pub(crate) fn written(&mut self, now: Tick, seq: u64, actions: &mut Vec<Action>) {
        if self.pending_write.as_ref().is_none_or(|r| r.seq != seq) {
            return;
        }
        self.pending_write = None;
        if self.state == LeaderState::Opening {
            // Earlier reports may lack the effect of an earlier leader's last order.
            self.stale_until = now;
            self.report = None;
        }
        self.state = LeaderState::Open;
        let Some(sent) = &self.pending_order else { return };
        if sent.seq == seq {
            let order = Order { epoch: Epoch::first(self.term), seq, op: sent.op.clone() };
            actions.push(Action::Send(order));
        }
    }

    /// Drops the order whose intent is in an unconfirmed write, and schedules a new write.
    pub(crate) fn write_unconfirmed(&mut self) {
        let Some(record) = self.pending_write.take() else {
            return;
        };
        if self.pending_order.as_ref().is_some_and(|s| s.seq == record.seq) {
            self.pending_order = None;
            self.open_intents.remove(&record.seq);
        }
        self.record_stale = true;
        self.deferred = true;
    }

    /// Handles a rejected write. The record may be this process's own, from a write without an
    /// answer; that of an earlier leader, whose intents are adopted; or that of a later one.
    pub(crate) fn write_conflict(
        &mut self,
        now: Tick,
        record: Option<Record>,
        actions: &mut Vec<Action>,
    ) {
        let Some(attempted) = self.pending_write.clone() else {
            return;
        };
        let is_own =
            record.as_ref().is_some_and(|r| r.term == self.term && r.holder == self.host_id);
        match record {
            Some(r) if is_own && r.seq == attempted.seq => {
                self.written(now, attempted.seq, actions)
            }
            None => self.write_unconfirmed(),
            Some(_) if is_own => self.write_unconfirmed(),
            Some(r) if r.term < self.term => {
                self.write_unconfirmed();
                self.deferred = false;
                self.seq = self.seq.max(r.seq);
                self.open_intents = r.open;
            }
            Some(_) => {
                self.reset();
                actions.push(Action::StepDown);
            }
        }
    }
}
