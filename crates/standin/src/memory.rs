//! An engine's memory: what takes it, and whether it was ever overcommitted.

use vanetally_ledger::{HeldEntry, Op, Phase, Refusal, Report};
use vanetally_types::{Bytes, Name};

/// Entries and the fence.
#[derive(Clone, Debug)]
pub struct Memory {
    capacity: Bytes,
    fenced: bool,
    report: Report,
    /// The most memory that was ever taken.
    pub peak: Bytes,
    /// How often a load took more than there is.
    pub overcommits: u64,
    /// Loads begun and unloads done.
    pub moves: (u64, u64),
}

impl Memory {
    /// Empty memory of an engine that has just started.
    pub fn new(capacity: Bytes, fenced: bool, incarnation: u64) -> Self {
        let report = Report { incarnation, ..Report::default() };
        Self { capacity, fenced, report, peak: 0, overcommits: 0, moves: (0, 0) }
    }

    /// What it reports.
    pub fn report(&self) -> &Report {
        &self.report
    }

    /// Forgets everything, as a restart does.
    pub fn restart(&mut self, incarnation: u64) {
        self.report = Report { incarnation, ..Report::default() };
    }

    /// Raises the epoch; false if a higher one is in force.
    pub fn fence(&mut self, epoch: u64) -> bool {
        if epoch < self.report.epoch {
            return false;
        }
        if epoch > self.report.epoch {
            self.report.epoch = epoch;
            self.report.seq = 0;
        }
        true
    }

    /// Carries an order out; a load still has to be ended by [`Memory::loaded`].
    pub fn order(&mut self, epoch: u64, seq: u64, op: &Op) -> Result<(), Refusal> {
        if self.fenced && (epoch != self.report.epoch || seq <= self.report.seq) {
            return Err(Refusal::Stale);
        }
        self.report.seq = seq;
        match op {
            Op::Load { entry, bytes, base } => self.load(entry, *bytes, base.as_ref()),
            Op::Unload { entry } => self.unload(entry),
        }
    }

    fn load(&mut self, entry: &Name, bytes: Bytes, base: Option<&Name>) -> Result<(), Refusal> {
        let entries = &mut self.report.entries;
        if entries.contains_key(entry) {
            return Ok(());
        }
        if base.is_some_and(|b| !entries.contains_key(b)) {
            return Err(Refusal::Missing);
        }
        let base = base.cloned();
        let held = HeldEntry { phase: Phase::Loading, bytes, in_flight: 0, base };
        entries.insert(entry.clone(), held);
        self.moves.0 += 1;
        let taken: Bytes = entries.values().map(|h| h.bytes).sum();
        self.peak = self.peak.max(taken);
        if taken > self.capacity {
            self.overcommits += 1;
        }
        Ok(())
    }

    fn unload(&mut self, entry: &Name) -> Result<(), Refusal> {
        let needed = self.report.entries.values().any(|h| h.base.as_ref() == Some(entry));
        match self.report.entries.get(entry) {
            None => Err(Refusal::Missing),
            Some(held) if held.in_flight > 0 || needed || held.phase == Phase::Loading => {
                Err(Refusal::Busy)
            }
            Some(_) => {
                self.report.entries.remove(entry);
                self.moves.1 += 1;
                Ok(())
            }
        }
    }

    /// A load is through, unless the engine has restarted since.
    pub fn loaded(&mut self, entry: &Name, incarnation: u64) {
        if self.report.incarnation == incarnation
            && let Some(held) = self.report.entries.get_mut(entry)
        {
            held.phase = Phase::Resident;
        }
    }

    /// Counts a request in; false if the entry is not resident.
    pub fn enter(&mut self, entry: &str) -> bool {
        match self.report.entries.get_mut(entry) {
            Some(held) if held.phase == Phase::Resident => {
                held.in_flight += 1;
                true
            }
            _ => false,
        }
    }

    /// Counts a request out.
    pub fn leave(&mut self, entry: &str) {
        if let Some(held) = self.report.entries.get_mut(entry) {
            held.in_flight = held.in_flight.saturating_sub(1);
        }
    }
}
