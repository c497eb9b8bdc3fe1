//! Upkeep of the slots of once-only ids: who holds which, takeover, hand-over.

use crate::{Core, EpochHolder, Frame, Key, StoredValue};
use vanetally_claim::{
    Action as Do, ClaimRequest, Event as Happens, Id, Message, Outcome, Record, Role, Ticket,
    slot_of,
};
use vanetally_types::{HostId, Name, hash64, rendezvous_rank};

/// Between two looks at entry hosts and earlier holders, in milliseconds.
const JUDGE_EVERY: u64 = 500;
/// Between two reads of a slot's record by one host, in milliseconds.
const READ_PACE: u64 = 1_000;

impl Core {
    /// Lets slot `number` take an event and carries out what it wants.
    pub(crate) fn slot_event(&mut self, number: u16, event: Happens) {
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
            self.note_slot(number, head);
        }
        for action in actions {
            self.slot_action(number, action);
        }
    }

    fn slot_action(&mut self, number: u16, action: Do) {
        match action {
            Do::Write { base, record } => self.put(Key::Slot(number), base, &record),
            Do::Reply { ticket, id, reply } => {
                if ticket.entry == self.options.me {
                    let me = self.options.me.clone();
                    return self.replied(me, ticket, id, reply);
                }
                let to = ticket.entry.name.clone();
                self.send(&to, Frame::ClaimReply { ticket, id, reply });
            }
            Do::Send { to, message } => self.send(&to.name, Frame::Slot(number, message)),
            Do::Forward { to, id, ticket, outcome: finish } => {
                self.send(&to.name, Frame::Finished { id, ticket, outcome: finish });
            }
        }
    }

    /// The highest epoch of a slot that this host knows, with its holder.
    fn note_slot(&mut self, number: u16, head: EpochHolder) {
        if self.slot_heads.get(&number).is_none_or(|known| known.0 < head.0) {
            self.slot_heads.insert(number, head);
            self.tables_changed();
        }
    }

    pub(crate) fn heard_slot(&mut self, number: u16, head: EpochHolder) {
        let (epoch, holder) = head.clone();
        self.note_slot(number, head);
        self.slot_event(number, Happens::EpochAnnounced { epoch, holder });
    }

    pub(crate) fn slot_message(&mut self, from: HostId, number: u16, message: Message) {
        self.slot_event(number, Happens::Message { from, message });
    }

    pub(crate) fn slots_ended(&mut self, host: &HostId) {
        for number in 0..self.options.slots {
            self.slot_event(number, Happens::Ended(host.clone()));
        }
    }

    /// An entry host asks a slot that is perhaps held here.
    pub(crate) fn ask_here(&mut self, ask: ClaimRequest) {
        let number = slot_of(ask.id, self.options.slots);
        self.slot_event(number, Happens::Request(ask));
    }

    pub(crate) fn finish_here(&mut self, id: Id, ticket: Ticket, finish: Outcome) {
        let number = slot_of(id, self.options.slots);
        let held = self.slots[usize::from(number)].role() == Role::Holder;
        if held {
            self.send(&ticket.entry.name.clone(), Frame::FinishAck(ticket.clone()));
        }
        self.slot_event(number, Happens::Finished { id, ticket, outcome: finish });
    }

    pub(crate) fn slot_read(&mut self, number: u16, value: Option<Option<StoredValue>>) {
        let Some(value) = value else { return };
        let stored = value.and_then(parse);
        let absent = stored.is_none();
        self.slot_event(number, Happens::Read(stored));
        if self.slot_due.remove(&number) && self.should_take(number, absent) {
            let deputy = self.next_for(number);
            self.slot_event(number, Happens::TakeOver { backup: deputy });
        }
    }

    pub(crate) fn slot_written(
        &mut self,
        number: u16,
        result: Option<Result<u64, Option<StoredValue>>>,
    ) {
        let event = match result {
            None => Happens::WriteUnconfirmed,
            Some(Ok(version)) => Happens::Written { version },
            Some(Err(stored)) => Happens::WriteConflict(stored.and_then(parse)),
        };
        self.slot_event(number, event);
    }

    /// The living hosts for a slot, most preferred first.
    fn ranked(&self, number: u16) -> Vec<Name> {
        let alive = self.members.eligible_hosts(self.now);
        let key = hash64(format!("slot/{number}").as_bytes());
        rendezvous_rank(key, &alive).into_iter().cloned().collect()
    }

    /// The process that should succeed this host in a slot.
    fn next_for(&self, number: u16) -> Option<HostId> {
        let ranked = self.ranked(number);
        let others = ranked.iter().filter(|n| **n != self.options.me.name);
        others.filter_map(|n| self.members.current_process(n)).next()
    }

    /// Whether this host should take the slot now: its holder does not serve, and this host is
    /// its deputy or, without one, the most preferred.
    fn should_take(&self, number: u16, absent: bool) -> bool {
        let slot = &self.slots[usize::from(number)];
        if slot.role() != Role::Other || self.stopping {
            return false;
        }
        let head = self.slot_heads.get(&number);
        if !absent && head.is_some_and(|h| self.members.is_reachable(self.now, &h.1)) {
            return false;
        }
        let record = slot.record();
        let deputy = record.and_then(|r| r.backup.as_ref());
        match deputy.filter(|d| self.members.is_process_eligible(self.now, d)) {
            Some(deputy) => *deputy == self.options.me,
            None => self.ranked(number).first() == Some(&self.options.me.name),
        }
    }

    pub(crate) fn tick_slots(&mut self) {
        if !self.listed {
            return;
        }
        for number in 0..self.options.slots {
            self.slot_event(number, Happens::Tick);
            match self.slots[usize::from(number)].role() {
                Role::Other => self.watch_slot(number),
                Role::Holder => self.keep_slot(number),
                Role::Taking | Role::Releasing => {}
            }
        }
        if self.now >= self.next_judge {
            self.next_judge = self.now + JUDGE_EVERY;
        }
    }

    /// Reads the record of a slot that seems to have no holder.
    fn watch_slot(&mut self, number: u16) {
        let head = self.slot_heads.get(&number);
        let served = head.is_some_and(|h| self.members.is_reachable(self.now, &h.1));
        let mine = head.is_some_and(|h| h.1 == self.options.me);
        let last = self.slot_reads.get(&number).copied().unwrap_or(self.started);
        if (served && !mine) || self.stopping || self.now.since(last) < READ_PACE {
            return;
        }
        let unread = self.slots[usize::from(number)].record().is_none();
        if unread || mine || self.should_take(number, head.is_none()) {
            self.slot_reads.insert(number, self.now);
            self.slot_due.insert(number);
            self.get(Key::Slot(number));
        }
    }

    /// Sees to the deputy of a slot held here, or hands the slot over.
    fn keep_slot(&mut self, number: u16) {
        let slot = &self.slots[usize::from(number)];
        let heir = self.next_for(number);
        if self.stopping {
            if let Some(to) = heir {
                let ranked = self.ranked(number);
                let second = ranked.iter().filter(|n| **n != to.name);
                let deputy = second.filter_map(|n| self.members.current_process(n)).next();
                self.slot_event(number, Happens::Release { to, backup: deputy });
            }
            return;
        }
        let deputy = slot.record().and_then(|r| r.backup.clone());
        let sound = deputy.as_ref().is_some_and(|d| self.members.is_process_eligible(self.now, d));
        if !sound && heir.is_some() {
            self.slot_event(number, Happens::SetBackup(heir));
        }
        if self.now >= self.next_judge {
            self.judge_doubts(number);
            self.judge_entries(number);
        }
    }

    /// Ends doubts about holders that operators state to be destroyed.
    fn judge_doubts(&mut self, number: u16) {
        let slot = &self.slots[usize::from(number)];
        let doubts: Vec<HostId> = slot.unresolved_holders().cloned().collect();
        for host in doubts {
            if self.is_stated_gone(&host) || self.members.has_ended(&host) {
                self.slot_event(number, Happens::Ended(host));
            }
        }
    }

    /// Attempts of entry hosts that are silent count as unknown.
    fn judge_entries(&mut self, number: u16) {
        let entries: Vec<HostId> = self.slots[usize::from(number)].running_entries();
        for host in entries {
            if !self.members.is_reachable(self.now, &host) {
                self.slot_event(number, Happens::Unreachable(host));
            }
        }
    }
}

fn parse(stored: StoredValue) -> Option<vanetally_claim::VersionedRecord> {
    let record: Record = serde_json::from_slice(&stored.bytes).ok()?;
    Some(vanetally_claim::VersionedRecord { version: stored.version, record })
}
