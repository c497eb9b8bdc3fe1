//! The written record of a runner that does not check orders, from the writer's side.

use crate::{Action, Epoch, LeaderState, Ledger, Order, Record};
use vanetally_types::Tick;

impl Ledger {
    pub(crate) fn write(&mut self, actions: &mut Vec<Action>) {
        self.seq += 1;
        let record = Record {
            term: self.term,
            holder: self.me.clone(),
            seq: self.seq,
            open: self.open.clone(),
        };
        self.stale = false;
        self.writing = Some(record.clone());
        actions.push(Action::Write(record));
    }

    pub(crate) fn written(&mut self, now: Tick, seq: u64, actions: &mut Vec<Action>) {
        if self.writing.as_ref().is_none_or(|r| r.seq != seq) {
            return;
        }
        self.writing = None;
        if self.state == LeaderState::Opening {
            // What was seen before may lack an earlier steward's last order.
            self.settled = now;
            self.report = None;
        }
        self.state = LeaderState::Open;
        let Some(sent) = &self.pending else { return };
        if sent.seq == seq {
            let order = Order { epoch: Epoch::first(self.term), seq, op: sent.op.clone() };
            actions.push(Action::Send(order));
        }
    }

    /// The order announced by a lost write is not sent; the record is written anew later.
    pub(crate) fn write_lost(&mut self) {
        let Some(record) = self.writing.take() else {
            return;
        };
        if self.pending.as_ref().is_some_and(|s| s.seq == record.seq) {
            self.pending = None;
            self.open.remove(&record.seq);
        }
        self.stale = true;
        self.held_back = true;
    }

    pub(crate) fn write_refused(
        &mut self,
        now: Tick,
        record: Option<Record>,
        actions: &mut Vec<Action>,
    ) {
        let Some(writing) = self.writing.clone() else {
            return;
        };
        let mine = record.as_ref().is_some_and(|r| r.term == self.term && r.holder == self.me);
        match record {
            Some(r) if mine && r.seq == writing.seq => self.written(now, writing.seq, actions),
            None => self.write_lost(),
            Some(_) if mine => self.write_lost(),
            Some(r) if r.term < self.term => {
                self.write_lost();
                self.held_back = false;
                self.seq = self.seq.max(r.seq);
                self.open = r.open;
            }
            Some(_) => {
                self.drop_all();
                actions.push(Action::StepDown);
            }
        }
    }
}
