//! Slots of once-only ids: holders, takeover and handover.

use crate::{Core, EpochHolder, Frame, Key, StoredValue};
use vanetally_claim::{
    Action as SlotAction, ClaimRequest, Event as SlotEvent, Id, Message, Outcome, Record, Role,
    Ticket, slot_of,
};
use vanetally_types::{HostId, Name, hash64, rendezvous_rank};

/// Interval of liveness checks of entry hosts and earlier holders.
const LIVENESS_CHECK_INTERVAL_MS: u64 = 500;
/// Minimum interval between two reads of a slot's record by one host.
const SLOT_READ_INTERVAL_MS: u64 = 1_000;

impl Core {
    /// Passes an event to slot `number` and carries out the resulting actions.
    pub(crate) fn slot_event(&mut self, number: u16, event: SlotEvent) {
        let Some(slot) = self.slots.get_mut(usize::from(number)) else {
            return;
        };
        let before = (slot.role(), slot.mode().clone());
        let actions = slot.handle(self.now, event);
        let after = (slot.role(), slot.mode().clone());
        let latest = slot.record().map(|r| (r.epoch, r.holder.clone()));
        if before != after {
            self.log(format!(
                "event=slot-changed slot={number} role={:?} mode={} epoch={}",
                after.0,
                after.1.as_str(),
                latest.as_ref().map_or(0, |h| h.0)
            ));
        }
        if let Some(latest) = latest {
            self.update_slot_holder(number, latest);
        }
        for action in actions {
            self.slot_action(number, action);
        }
    }

    fn slot_action(&mut self, number: u16, action: SlotAction) {
        match action {
            SlotAction::Write { base, record } => self.put(Key::Slot(number), base, &record),
            SlotAction::Reply { ticket, id, reply } => {
                if ticket.entry == self.options.host_id {
                    let host_id = self.options.host_id.clone();
                    return self.claim_replied(host_id, ticket, id, reply);
                }
                let to = ticket.entry.name.clone();
                self.send(&to, Frame::ClaimReply { ticket, id, reply });
            }
            SlotAction::Send { to, message } => self.send(&to.name, Frame::Slot(number, message)),
            SlotAction::Forward { to, id, ticket, outcome } => {
                self.send(&to.name, Frame::Finished { id, ticket, outcome });
            }
        }
    }

    /// Stores a slot's epoch and holder if the epoch is the highest known.
    fn update_slot_holder(&mut self, number: u16, latest: EpochHolder) {
        if self.slot_holders.get(&number).is_none_or(|known| known.0 < latest.0) {
            self.slot_holders.insert(number, latest);
            self.schedule_tables();
        }
    }

    pub(crate) fn slot_announced(&mut self, number: u16, latest: EpochHolder) {
        let (epoch, holder) = latest.clone();
        self.update_slot_holder(number, latest);
        self.slot_event(number, SlotEvent::EpochAnnounced { epoch, holder });
    }

    pub(crate) fn slot_message(&mut self, from: HostId, number: u16, message: Message) {
        self.slot_event(number, SlotEvent::Message { from, message });
    }

    pub(crate) fn notify_slots_ended(&mut self, host: &HostId) {
        for number in 0..self.options.slots {
            self.slot_event(number, SlotEvent::Ended(host.clone()));
        }
    }

    /// Handles a claim of an entry host; the slot rejects it if this host is not the holder.
    pub(crate) fn handle_claim(&mut self, claim: ClaimRequest) {
        let number = slot_of(claim.id, self.options.slots);
        self.slot_event(number, SlotEvent::Request(claim));
    }

    pub(crate) fn handle_outcome(&mut self, id: Id, ticket: Ticket, outcome: Outcome) {
        let number = slot_of(id, self.options.slots);
        let is_holder = self.slots[usize::from(number)].role() == Role::Holder;
        if is_holder {
            self.send(&ticket.entry.name.clone(), Frame::FinishAck(ticket.clone()));
        }
        self.slot_event(number, SlotEvent::Finished { id, ticket, outcome });
    }

    pub(crate) fn slot_read(&mut self, number: u16, value: Option<Option<StoredValue>>) {
        let Some(value) = value else { return };
        let stored = value.and_then(parse);
        let record_absent = stored.is_none();
        self.slot_event(number, SlotEvent::Read(stored));
        if self.takeover_reads.remove(&number) && self.should_take_over(number, record_absent) {
            let backup = self.successor(number);
            self.slot_event(number, SlotEvent::TakeOver { backup });
        }
    }

    pub(crate) fn slot_written(
        &mut self,
        number: u16,
        result: Option<Result<u64, Option<StoredValue>>>,
    ) {
        let event = match result {
            None => SlotEvent::WriteUnconfirmed,
            Some(Ok(version)) => SlotEvent::Written { version },
            Some(Err(stored)) => SlotEvent::WriteConflict(stored.and_then(parse)),
        };
        self.slot_event(number, event);
    }

    /// The eligible hosts in the slot's order of preference.
    fn ranked_hosts(&self, number: u16) -> Vec<Name> {
        let eligible = self.members.eligible_hosts(self.now);
        let key = hash64(format!("slot/{number}").as_bytes());
        rendezvous_rank(key, &eligible).into_iter().cloned().collect()
    }

    /// The process that should take over a slot from this host.
    fn successor(&self, number: u16) -> Option<HostId> {
        let ranked = self.ranked_hosts(number);
        let others = ranked.iter().filter(|n| **n != self.options.host_id.name);
        others.filter_map(|n| self.members.current_process(n)).next()
    }

    /// Whether this host should take over the slot now: the holder is unreachable, and this host is
    /// the backup or, if there is no eligible backup, ranks first.
    fn should_take_over(&self, number: u16, record_absent: bool) -> bool {
        let slot = &self.slots[usize::from(number)];
        if slot.role() != Role::Other || self.stopping {
            return false;
        }
        let latest = self.slot_holders.get(&number);
        if !record_absent && latest.is_some_and(|h| self.members.is_reachable(self.now, &h.1)) {
            return false;
        }
        let record = slot.record();
        let backup = record.and_then(|r| r.backup.as_ref());
        match backup.filter(|b| self.members.is_process_eligible(self.now, b)) {
            Some(backup) => *backup == self.options.host_id,
            None => self.ranked_hosts(number).first() == Some(&self.options.host_id.name),
        }
    }

    pub(crate) fn tick_slots(&mut self) {
        if !self.hosts_listed {
            return;
        }
        for number in 0..self.options.slots {
            self.slot_event(number, SlotEvent::Tick);
            match self.slots[usize::from(number)].role() {
                Role::Other => self.check_slot_holder(number),
                Role::Holder => self.maintain_slot(number),
                Role::Taking | Role::Releasing => {}
            }
        }
        if self.now >= self.next_liveness_check {
            self.next_liveness_check = self.now + LIVENESS_CHECK_INTERVAL_MS;
        }
    }

    /// Reads the record of a slot without a reachable holder.
    fn check_slot_holder(&mut self, number: u16) {
        let latest = self.slot_holders.get(&number);
        let is_reachable = latest.is_some_and(|h| self.members.is_reachable(self.now, &h.1));
        let held_here = latest.is_some_and(|h| h.1 == self.options.host_id);
        let last_read = self.last_slot_reads.get(&number).copied().unwrap_or(self.started);
        if (is_reachable && !held_here)
            || self.stopping
            || self.now.since(last_read) < SLOT_READ_INTERVAL_MS
        {
            return;
        }
        let is_unread = self.slots[usize::from(number)].record().is_none();
        if is_unread || held_here || self.should_take_over(number, latest.is_none()) {
            self.last_slot_reads.insert(number, self.now);
            self.takeover_reads.insert(number);
            self.get(Key::Slot(number));
        }
    }

    /// Replaces an ineligible backup of a slot held here, or hands the slot over before a stop.
    fn maintain_slot(&mut self, number: u16) {
        let slot = &self.slots[usize::from(number)];
        let successor = self.successor(number);
        if self.stopping {
            if let Some(to) = successor {
                let ranked = self.ranked_hosts(number);
                let others = ranked.iter().filter(|n| **n != to.name);
                let backup = others.filter_map(|n| self.members.current_process(n)).next();
                self.slot_event(number, SlotEvent::Release { to, backup });
            }
            return;
        }
        let backup = slot.record().and_then(|r| r.backup.clone());
        let is_eligible =
            backup.as_ref().is_some_and(|b| self.members.is_process_eligible(self.now, b));
        if !is_eligible && successor.is_some() {
            self.slot_event(number, SlotEvent::SetBackup(successor));
        }
        if self.now >= self.next_liveness_check {
            self.resolve_ended_holders(number);
            self.check_entry_hosts(number);
        }
    }

    /// Resolves earlier holders that have ended or that operators declared destroyed.
    fn resolve_ended_holders(&mut self, number: u16) {
        let slot = &self.slots[usize::from(number)];
        let holders: Vec<HostId> = slot.unresolved_holders().cloned().collect();
        for host in holders {
            if self.is_declared_gone(&host) || self.members.has_ended(&host) {
                self.slot_event(number, SlotEvent::Ended(host));
            }
        }
    }

    /// Marks the attempts of unreachable entry hosts as unknown.
    fn check_entry_hosts(&mut self, number: u16) {
        let entry_hosts: Vec<HostId> = self.slots[usize::from(number)].running_entries();
        for host in entry_hosts {
            if !self.members.is_reachable(self.now, &host) {
                self.slot_event(number, SlotEvent::Unreachable(host));
            }
        }
    }
}

fn parse(stored: StoredValue) -> Option<vanetally_claim::VersionedRecord> {
    let record: Record = serde_json::from_slice(&stored.bytes).ok()?;
    Some(vanetally_claim::VersionedRecord { version: stored.version, record })
}
