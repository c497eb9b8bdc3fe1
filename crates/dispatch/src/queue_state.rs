//! What a host knows of the queue over all hosts: the reports of the others, and what it sent and refused
//! itself.

use crate::{
    WaitCounts, WaitRow,
    forecast::{RecentCount, SendRate},
    queue_order::{Subject, Table},
};
use std::collections::{BTreeMap, HashMap};
use vanetally_types::{Name, Rank, Tick};

/// Age up to which reports of other hosts are used.
const MAX_REPORT_AGE_MS: u64 = 300;

/// The waiting requests that one host reported.
#[derive(Clone, Debug)]
pub(crate) struct Report {
    at: Tick,
    pub subjects: HashMap<Subject, Vec<(Rank, WaitCounts)>>,
}

/// Requests of one rank that this host sent.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct SentCount {
    all: RecentCount,
    late: RecentCount,
}

/// What a host knows of the queue over all hosts.
#[derive(Clone, Debug, Default)]
pub(crate) struct SharedQueue {
    reports: BTreeMap<Name, Report>,
    /// Requests that this host sent.
    pub sent: HashMap<Subject, BTreeMap<Rank, SentCount>>,
    /// Requests of this host that were refused because of their forecast.
    pub refused: HashMap<Subject, RecentCount>,
    rates: HashMap<Subject, SendRate>,
    /// Number of requests that were held back.
    pub held: u64,
}

impl SharedQueue {
    /// Replaces the rows that another host reported.
    pub(crate) fn record_report(&mut self, now: Tick, host: &Name, rows: &[WaitRow]) {
        let mut subjects: HashMap<Subject, Vec<(Rank, WaitCounts)>> = HashMap::new();
        for row in rows {
            let subject = (row.service.clone(), row.model.clone());
            subjects.entry(subject).or_default().push((row.rank, row.counts));
        }
        self.reports.insert(host.clone(), Report { at: now, subjects });
    }

    pub(crate) fn forget_host(&mut self, host: &Name) {
        self.reports.remove(host);
    }

    /// Returns the number of requests that wait at other hosts, by their last reports.
    pub(crate) fn waiting_elsewhere(&self) -> u32 {
        let rows = self.reports.values().flat_map(|report| report.subjects.values().flatten());
        rows.map(|(_, counts)| counts.waiting()).sum()
    }

    pub(crate) fn recent(&self, now: Tick) -> impl Iterator<Item = &Report> {
        self.reports.values().filter(move |report| now.since(report.at) <= MAX_REPORT_AGE_MS)
    }

    pub(crate) fn has_reports(&self, now: Tick) -> bool {
        self.recent(now).next().is_some()
    }

    /// Returns the rows of other hosts for `subject`.
    pub(crate) fn elsewhere(&self, now: Tick, subject: &Subject) -> Table {
        let mut table = Table::new();
        let rows = self.recent(now).filter_map(|report| report.subjects.get(subject)).flatten();
        for (rank, counts) in rows {
            table.entry(*rank).or_default().add(*counts);
        }
        table
    }

    /// Returns the mean age of the reports of other hosts.
    pub(crate) fn report_age_ms(&self, now: Tick) -> u64 {
        let (count, sum) = self
            .recent(now)
            .fold((0, 0), |(count, sum), report| (count + 1, sum + now.since(report.at)));
        sum / u64::max(count, 1)
    }

    pub(crate) fn record_sent(&mut self, now: Tick, subject: Subject, rank: Rank, is_late: bool) {
        let sent = self.sent.entry(subject).or_default().entry(rank).or_default();
        sent.all.record(now);
        if is_late {
            sent.late.record(now);
        }
    }

    /// Adds the requests that this host sent in the last second.
    pub(crate) fn add_sent(&self, now: Tick, subject: &Subject, table: &mut Table) {
        for (rank, sent) in self.sent.get(subject).into_iter().flatten() {
            let (sent, sent_late) = (sent.all.count(now), sent.late.count(now));
            let counts = WaitCounts { sent, sent_late, ..Default::default() };
            if !counts.is_empty() {
                table.entry(*rank).or_default().add(counts);
            }
        }
    }

    pub(crate) fn update_rate(&mut self, now: Tick, subject: &Subject, sent: u32) -> Option<f64> {
        let rate = self.rates.entry(subject.clone()).or_insert_with(|| SendRate::new(now, sent));
        rate.update(now, sent);
        rate.known(now)
    }

    /// Removes what is older than a second.
    pub(crate) fn prune(&mut self, now: Tick) {
        self.sent.retain(|_, ranks| ranks.values().any(|sent| sent.all.count(now) > 0));
        self.refused.retain(|_, refused| refused.count(now) > 0);
        self.rates.retain(|_, rate| !rate.is_expired(now));
    }
}
