//! Choice of the next action: a fence, a write of the record, or an order.

use crate::{
    Action, Epoch, HeldEntry, Intent, LeaderState, Ledger, Op, Order, Phase,
    machine::{MAX_OPEN_INTENTS, PendingOrder},
};
use std::collections::BTreeSet;
use vanetally_types::{Name, Tick};

impl Ledger {
    /// Adds the next action if one is due and allowed.
    pub(crate) fn next_action(&mut self, now: Tick, actions: &mut Vec<Action>) {
        let is_busy =
            !self.fence_due && (self.pending_order.is_some() || self.pending_write.is_some());
        if is_busy || self.deferred || self.state == LeaderState::Idle {
            return;
        }
        if self.fence_due {
            self.fence_due = false;
            actions.push(Action::Fence(self.epoch));
            return;
        }
        if self.record_stale {
            return self.write_record(actions);
        }
        if self.state != LeaderState::Open || self.report.is_none() {
            return;
        }
        self.close_undesired(now);
        if let Some(op) = self.next_unload(now).or_else(|| self.next_load()) {
            self.issue_order(op, actions);
        }
    }

    /// Sends an order, or first writes its intent if the runner does not check orders.
    fn issue_order(&mut self, op: Op, actions: &mut Vec<Action>) {
        if self.spec.fenced || !self.guards.intent {
            self.seq += 1;
            self.pending_order = Some(PendingOrder { seq: self.seq, op: op.clone() });
            let epoch = if self.spec.fenced { self.epoch } else { Epoch::first(self.term) };
            actions.push(Action::Send(Order { epoch, seq: self.seq, op }));
            return;
        }
        let seq = self.seq + 1;
        self.open_intents.insert(seq, Intent { op: op.clone(), issuer: self.host_id.clone() });
        self.pending_order = Some(PendingOrder { seq, op });
        self.write_record(actions);
    }

    /// Closes resident entries that are not in the plan.
    fn close_undesired(&mut self, now: Tick) {
        let (Some(report), Some(desired)) = (&self.report, &self.desired) else {
            return;
        };
        let undesired = report
            .entries
            .iter()
            .filter(|(name, held)| held.phase == Phase::Resident && !desired.contains_key(*name));
        for (name, _) in undesired {
            self.closing.entry(name.clone()).or_insert(now);
        }
        self.closing.retain(|name, _| report.entries.contains_key(name));
    }

    fn next_unload(&self, now: Tick) -> Option<Op> {
        let entries = &self.report.as_ref()?.entries;
        let bases: BTreeSet<&Name> = entries.values().filter_map(|h| h.base.as_ref()).collect();
        let is_idle = |name: &Name| entries.get(name).is_some_and(|h| h.in_flight == 0);
        self.closing
            .iter()
            .filter(|(_, since)| now.since(**since) >= self.spec.drain_ms)
            .map(|(name, _)| name)
            .find(|name| is_idle(name) && !bases.contains(name) && self.allows_order(name))
            .map(|name| Op::Unload { entry: name.clone() })
    }

    /// Whether the limit of open intents allows another order for `name`.
    fn allows_order(&self, name: &Name) -> bool {
        let open = self.open_intents.values().filter(|i| i.op.entry() == name);
        open.count() < MAX_OPEN_INTENTS
    }

    fn next_load(&self) -> Option<Op> {
        let entries = &self.report.as_ref()?.entries;
        let is_resident =
            |name: &Name| entries.get(name).is_some_and(|h: &HeldEntry| h.phase == Phase::Resident);
        let held = self.held_bytes();
        self.desired
            .as_ref()?
            .iter()
            .filter(|(name, _)| !entries.contains_key(*name))
            .filter(|(name, entry)| {
                entry.base.as_ref().is_none_or(is_resident) && self.allows_order(name)
            })
            .find(|(name, entry)| {
                let is_counted =
                    self.open_intents.values().any(|i| i.op.entry() == *name && i.op.bytes() > 0);
                let added = if is_counted && self.guards.hold_open { 0 } else { entry.bytes };
                !self.guards.capacity || held + added <= self.spec.capacity
            })
            .map(|(name, entry)| Op::Load {
                entry: name.clone(),
                bytes: entry.bytes,
                base: entry.base.clone(),
            })
    }
}
