//! The choice of the next order.

use crate::{
    Action, Epoch, HeldEntry, Intent, LeaderState, Ledger, Op, Order, Phase,
    machine::{MOST_OPEN, Sent},
};
use std::collections::BTreeSet;
use vanetally_types::{Name, Tick};

impl Ledger {
    /// Gives the next order, if one is due and allowed.
    pub(crate) fn step(&mut self, now: Tick, actions: &mut Vec<Action>) {
        let busy = !self.fence_due && (self.pending.is_some() || self.writing.is_some());
        if busy || self.held_back || self.state == LeaderState::Idle {
            return;
        }
        if self.fence_due {
            self.fence_due = false;
            actions.push(Action::Fence(self.epoch));
            return;
        }
        if self.stale {
            return self.write(actions);
        }
        if self.state != LeaderState::Open || self.report.is_none() {
            return;
        }
        self.close_unwanted(now);
        if let Some(op) = self.next_unload(now).or_else(|| self.next_load()) {
            self.order(op, actions);
        }
    }

    fn order(&mut self, op: Op, actions: &mut Vec<Action>) {
        if self.spec.fenced || !self.guards.intent {
            self.seq += 1;
            self.pending = Some(Sent { seq: self.seq, op: op.clone() });
            let epoch = if self.spec.fenced { self.epoch } else { Epoch::first(self.term) };
            actions.push(Action::Send(Order { epoch, seq: self.seq, op }));
            return;
        }
        let seq = self.seq + 1;
        self.open.insert(seq, Intent { op: op.clone(), issuer: self.me.clone() });
        self.pending = Some(Sent { seq, op });
        self.write(actions);
    }

    fn close_unwanted(&mut self, now: Tick) {
        let (Some(report), Some(desired)) = (&self.report, &self.desired) else {
            return;
        };
        let unwanted = report
            .entries
            .iter()
            .filter(|(name, held)| held.phase == Phase::Resident && !desired.contains_key(*name));
        for (name, _) in unwanted {
            self.closing.entry(name.clone()).or_insert(now);
        }
        self.closing.retain(|name, _| report.entries.contains_key(name));
    }

    fn next_unload(&self, now: Tick) -> Option<Op> {
        let entries = &self.report.as_ref()?.entries;
        let bases: BTreeSet<&Name> = entries.values().filter_map(|h| h.base.as_ref()).collect();
        let idle = |name: &Name| entries.get(name).is_some_and(|h| h.in_flight == 0);
        self.closing
            .iter()
            .filter(|(_, since)| now.since(**since) >= self.spec.drain_ms)
            .map(|(name, _)| name)
            .find(|name| idle(name) && !bases.contains(name) && self.may_repeat(name))
            .map(|name| Op::Unload { entry: name.clone() })
    }

    /// Whether another order about `name` may join those that may still be under way.
    fn may_repeat(&self, name: &Name) -> bool {
        let open = self.open.values().filter(|i| i.op.entry() == name);
        open.count() < MOST_OPEN
    }

    fn next_load(&self) -> Option<Op> {
        let entries = &self.report.as_ref()?.entries;
        let resident =
            |name: &Name| entries.get(name).is_some_and(|h: &HeldEntry| h.phase == Phase::Resident);
        let held = self.held_bytes();
        self.desired
            .as_ref()?
            .iter()
            .filter(|(name, _)| !entries.contains_key(*name))
            .filter(|(name, want)| want.base.as_ref().is_none_or(resident) && self.may_repeat(name))
            .find(|(name, want)| {
                let counted = self.open.values().any(|i| i.op.entry() == *name && i.op.bytes() > 0);
                let more = if counted && self.guards.hold_open { 0 } else { want.bytes };
                !self.guards.capacity || held + more <= self.spec.capacity
            })
            .map(|(name, want)| Op::Load {
                entry: name.clone(),
                bytes: want.bytes,
                base: want.base.clone(),
            })
    }
}
