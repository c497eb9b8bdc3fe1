//! Upkeep of the slots of once-only ids: who holds which, takeover, hand-over.

use crate::{Core, EpochHolder, Frame, Key, StoredValue};
use vanetally_claim::{
    Action as SlotAction, ClaimRequest, Event as SlotEvent, Id, Message, Outcome, Record, Role,
    Ticket, slot_of,
};
use vanetally_types::{HostId, Name, hash64, rendezvous_rank};

/// Between two looks at entry hosts and earlier holders, in milliseconds.
const LIVENESS_CHECK_INTERVAL_MS: u64 = 500;
/// Between two reads of a slot's record by one host, in milliseconds.
const SLOT_READ_INTERVAL_MS: u64 = 1_000;

impl Core {
    /// Lets slot `number` take an event and carries out what it wants.
    pub(crate) fn slot_event(&mut self, number: u16, event: SlotEvent) {
        let Some(slot) = self.slots.get_mut(usize::from(number)) else {
            return;
        };
        let before = (slot.role(), slot.mode().clone());
        let actions = slot.handle(self.now, event);
        let after = (slot.role(), slot.mode().clone());
        let head = slot.record().map(|r| (r.epoch, r.holder.clone()));
        if before != after {
            self.log(format!(
                "event=slot-changed slot={number} role={:?} mode={} epoch={}",
                after.0,
                after.1.as_str(),
                head.as_ref().map_or(0, |h| h.0)
            ));
        }
        if let Some(head) = head {
            self.update_slot_holder(number, head);
        }
        for action in actions {
            self.slot_action(number, action);
        }
    }

    fn slot_action(&mut self, number: u16, action: SlotAction) {
        match action {
            SlotAction::Write { base, record } => self.put(Key::Slot(number), base, &record),
            SlotAction::Reply { ticket, id, reply } => {
                if ticket.entry == self.options.me {
                    let me = self.options.me.clone();
                    return self.claim_replied(me, ticket, id, reply);
                }
                let to = ticket.entry.name.clone();
                self.send(&to, Frame::ClaimReply { ticket, id, reply });
            }
            SlotAction::Send { to, message } => self.send(&to.name, Frame::Slot(number, message)),
            SlotAction::Forward { to, id, ticket, outcome: finish } => {
                self.send(&to.name, Frame::Finished { id, ticket, outcome: finish });
            }
        }
    }

    /// The highest epoch of a slot that this host knows, with its holder.
    fn update_slot_holder(&mut self, number: u16, head: EpochHolder) {
        if self.slot_holders.get(&number).is_none_or(|known| known.0 < head.0) {
            self.slot_holders.insert(number, head);
            self.schedule_tables();
        }
    }

    pub(crate) fn slot_announced(&mut self, number: u16, head: EpochHolder) {
        let (epoch, holder) = head.clone();
        self.update_slot_holder(number, head);
        self.slot_event(number, SlotEvent::EpochAnnounced { epoch, holder });
    }

    pub(crate) fn slot_message(&mut self, from: HostId, number: u16, message: Message) {
        self.slot_event(number, SlotEvent::Message { from, message });
    }

    pub(crate) fn slots_process_ended(&mut self, host: &HostId) {
        for number in 0..self.options.slots {
            self.slot_event(number, SlotEvent::Ended(host.clone()));
        }
    }

    /// An entry host asks a slot that is perhaps held here.
    pub(crate) fn handle_claim(&mut self, ask: ClaimRequest) {
        let number = slot_of(ask.id, self.options.slots);
        self.slot_event(number, SlotEvent::Request(ask));
    }

    pub(crate) fn handle_outcome(&mut self, id: Id, ticket: Ticket, finish: Outcome) {
        let number = slot_of(id, self.options.slots);
        let held = self.slots[usize::from(number)].role() == Role::Holder;
        if held {
            self.send(&ticket.entry.name.clone(), Frame::FinishAck(ticket.clone()));
        }
        self.slot_event(number, SlotEvent::Finished { id, ticket, outcome: finish });
    }

    pub(crate) fn slot_read(&mut self, number: u16, value: Option<Option<StoredValue>>) {
        let Some(value) = value else { return };
        let stored = value.and_then(parse);
        let absent = stored.is_none();
        self.slot_event(number, SlotEvent::Read(stored));
        if self.takeover_reads.remove(&number) && self.should_take_over(number, absent) {
            let backup = self.successor(number);
            self.slot_event(number, SlotEvent::TakeOver { backup: backup });
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

    /// The living hosts for a slot, most preferred first.
    fn ranked_hosts(&self, number: u16) -> Vec<Name> {
        let alive = self.members.eligible_hosts(self.now);
        let key = hash64(format!("slot/{number}").as_bytes());
        rendezvous_rank(key, &alive).into_iter().cloned().collect()
    }

    /// The process that should succeed this host in a slot.
    fn successor(&self, number: u16) -> Option<HostId> {
        let ranked = self.ranked_hosts(number);
        let others = ranked.iter().filter(|n| **n != self.options.me.name);
        others.filter_map(|n| self.members.current_process(n)).next()
    }

    /// Whether this host should take the slot now: its holder does not serve, and this host is
    /// its deputy or, without one, the most preferred.
    fn should_take_over(&self, number: u16, absent: bool) -> bool {
        let slot = &self.slots[usize::from(number)];
        if slot.role() != Role::Other || self.stopping {
            return false;
        }
        let head = self.slot_holders.get(&number);
        if !absent && head.is_some_and(|h| self.members.is_reachable(self.now, &h.1)) {
            return false;
        }
        let record = slot.record();
        let backup = record.and_then(|r| r.backup.as_ref());
        match backup.filter(|d| self.members.is_process_eligible(self.now, d)) {
            Some(backup) => *backup == self.options.me,
            None => self.ranked_hosts(number).first() == Some(&self.options.me.name),
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

    /// Reads the record of a slot that seems to have no holder.
    fn check_slot_holder(&mut self, number: u16) {
        let head = self.slot_holders.get(&number);
        let served = head.is_some_and(|h| self.members.is_reachable(self.now, &h.1));
        let mine = head.is_some_and(|h| h.1 == self.options.me);
        let last = self.last_reads.get(&number).copied().unwrap_or(self.started);
        if (served && !mine) || self.stopping || self.now.since(last) < SLOT_READ_INTERVAL_MS {
            return;
        }
        let unread = self.slots[usize::from(number)].record().is_none();
        if unread || mine || self.should_take_over(number, head.is_none()) {
            self.last_reads.insert(number, self.now);
            self.takeover_reads.insert(number);
            self.get(Key::Slot(number));
        }
    }

    /// Sees to the deputy of a slot held here, or hands the slot over.
    fn maintain_slot(&mut self, number: u16) {
        let slot = &self.slots[usize::from(number)];
        let successor = self.successor(number);
        if self.stopping {
            if let Some(to) = successor {
                let ranked = self.ranked_hosts(number);
                let second = ranked.iter().filter(|n| **n != to.name);
                let backup = second.filter_map(|n| self.members.current_process(n)).next();
                self.slot_event(number, SlotEvent::Release { to, backup: backup });
            }
            return;
        }
        let backup = slot.record().and_then(|r| r.backup.clone());
        let sound = backup.as_ref().is_some_and(|d| self.members.is_process_eligible(self.now, d));
        if !sound && successor.is_some() {
            self.slot_event(number, SlotEvent::SetBackup(successor));
        }
        if self.now >= self.next_liveness_check {
            self.resolve_ended_holders(number);
            self.check_entry_hosts(number);
        }
    }

    /// Ends doubts about holders that operators state to be destroyed.
    fn resolve_ended_holders(&mut self, number: u16) {
        let slot = &self.slots[usize::from(number)];
        let doubts: Vec<HostId> = slot.unresolved_holders().cloned().collect();
        for host in doubts {
            if self.is_declared_gone(&host) || self.members.has_ended(&host) {
                self.slot_event(number, SlotEvent::Ended(host));
            }
        }
    }

    /// Attempts of entry hosts that are silent count as unknown.
    fn check_entry_hosts(&mut self, number: u16) {
        let entries: Vec<HostId> = self.slots[usize::from(number)].running_entries();
        for host in entries {
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
