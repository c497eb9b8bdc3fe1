//! The memory of an engine: resident entries, fencing of orders, and peak and overcommit counters.

use vanetally_ledger::{HeldEntry, Op, Phase, Refusal, Report};
use vanetally_types::{Bytes, Name};

/// The entries in an engine's memory and the epoch that fences its orders.
#[derive(Clone, Debug)]
pub struct Memory {
    capacity: Bytes,
    fenced: bool,
    report: Report,
    /// Peak of the memory used.
    pub peak_bytes: Bytes,
    /// Number of loads that exceeded the capacity.
    pub overcommits: u64,
    /// Number of loads started and of unloads done.
    pub move_counts: (u64, u64),
}

impl Memory {
    /// Creates the empty memory of an engine that has just started.
    pub fn new(capacity: Bytes, fenced: bool, incarnation: u64) -> Self {
        let report = Report { incarnation, ..Report::default() };
        Self { capacity, fenced, report, peak_bytes: 0, overcommits: 0, move_counts: (0, 0) }
    }

    /// Returns the report that the engine sends.
    pub fn report(&self) -> &Report {
        &self.report
    }

    /// Drops all entries and the epoch, as a restart does.
    pub fn restart(&mut self, incarnation: u64) {
        self.report = Report { incarnation, ..Report::default() };
    }

    /// Raises the epoch; returns false if a higher one is in force.
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

    /// Applies an order; a load stays in progress until [`Memory::finish_load`].
    pub fn apply_order(&mut self, epoch: u64, seq: u64, op: &Op) -> Result<(), Refusal> {
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
        self.move_counts.0 += 1;
        let used: Bytes = entries.values().map(|h| h.bytes).sum();
        self.peak_bytes = self.peak_bytes.max(used);
        if used > self.capacity {
            self.overcommits += 1;
        }
        Ok(())
    }

    fn unload(&mut self, entry: &Name) -> Result<(), Refusal> {
        let is_base = self.report.entries.values().any(|h| h.base.as_ref() == Some(entry));
        match self.report.entries.get(entry) {
            None => Err(Refusal::Missing),
            Some(held) if held.in_flight > 0 || is_base || held.phase == Phase::Loading => {
                Err(Refusal::Busy)
            }
            Some(_) => {
                self.report.entries.remove(entry);
                self.move_counts.1 += 1;
                Ok(())
            }
        }
    }

    /// Marks an entry as resident, unless the engine has restarted since the load began.
    pub fn finish_load(&mut self, entry: &Name, incarnation: u64) {
        if self.report.incarnation == incarnation
            && let Some(held) = self.report.entries.get_mut(entry)
        {
            held.phase = Phase::Resident;
        }
    }

    /// Counts a request as in flight; returns false if the entry is not resident.
    pub fn begin_request(&mut self, entry: &str) -> bool {
        match self.report.entries.get_mut(entry) {
            Some(held) if held.phase == Phase::Resident => {
                held.in_flight += 1;
                true
            }
            _ => false,
        }
    }

    /// Ends a request counted by [`Memory::begin_request`].
    pub fn end_request(&mut self, entry: &str) {
        if let Some(held) = self.report.entries.get_mut(entry) {
            held.in_flight = held.in_flight.saturating_sub(1);
        }
    }
}
