//! Loads of many hosts, added up.

use std::collections::{BTreeMap, VecDeque};
use vanetally_dispatch::{DemandRow, Digest, LimitRow, LoadRow};
use vanetally_types::{Incarnation, Name, Tick};

/// Which of a host's reports a sum includes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct IncludedReport {
    /// The host.
    pub host: Name,
    /// The number of its report.
    pub number: u64,
}

#[derive(Clone, Debug)]
struct Report {
    number: u64,
    loads: Vec<LoadRow>,
    at: Tick,
}

/// What this host reported, and what it heard of others.
#[derive(Clone, Debug, Default)]
pub struct Totals {
    /// Own reports that a sum may yet include, oldest first.
    sent: VecDeque<Report>,
    next_number: u64,
    /// Hosts that report to this one.
    subscribers: BTreeMap<Name, Report>,
    /// Aggregators that hear from this one what lies in the store, and when they last said so.
    listeners: BTreeMap<Name, Tick>,
    /// Sums of other aggregators.
    elsewhere: BTreeMap<Name, (Vec<LoadRow>, Tick)>,
    demand: Vec<DemandRow>,
}

/// Own reports that are remembered.
const MOST_SENT: usize = 64;
/// A subscriber that is silent for this long has left, in milliseconds.
const SUBSCRIBER_MS: u64 = 2_000;
/// Another aggregator's sum older than this is forgotten, in milliseconds.
const ELSEWHERE_MS: u64 = 2_000;

impl Totals {
    /// Numbers a report of this host before it is sent.
    pub fn number_report(&mut self, now: Tick, digest: &Digest) -> u64 {
        let number = self.next_number;
        self.next_number += 1;
        self.sent.push_back(Report { number, loads: digest.loads.clone(), at: now });
        if self.sent.len() > MOST_SENT {
            self.sent.pop_front();
        }
        number
    }

    /// A host reported to this one.
    pub fn record_report(&mut self, now: Tick, host: Name, number: u64, digest: Digest) {
        self.add_demand(digest.demand);
        self.listeners.remove(&host);
        self.subscribers.insert(host, Report { number, loads: digest.loads, at: now });
    }

    /// A host asked to hear from this one.
    pub fn subscribe(&mut self, now: Tick, host: Name) {
        self.subscribers
            .entry(host)
            .or_insert(Report { number: 0, loads: Vec::new(), at: now })
            .at = now;
    }

    /// An aggregator hears from this host.
    pub fn add_listener(&mut self, now: Tick, host: Name) {
        self.subscribers.remove(&host);
        self.listeners.insert(host, now);
    }

    /// A host needs to hear no more.
    pub fn unsubscribe(&mut self, host: &Name) {
        self.subscribers.remove(host);
        self.listeners.remove(host);
    }

    /// The hosts that report to this one and hear from it.
    pub fn subscribers(&self) -> impl Iterator<Item = &Name> {
        self.subscribers.keys()
    }

    /// The aggregators that hear from this host.
    pub fn listeners(&self) -> impl Iterator<Item = &Name> {
        self.listeners.keys()
    }

    /// Another aggregator told its sum.
    pub fn record_sum(&mut self, now: Tick, from: Name, loads: Vec<LoadRow>) {
        self.elsewhere.insert(from, (loads, now));
    }

    /// The aggregators heard lately.
    pub fn peer_aggregators(&self) -> impl Iterator<Item = &Name> {
        self.elsewhere.keys()
    }

    /// Adds to the demand that was not passed on yet.
    pub fn add_demand(&mut self, rows: Vec<DemandRow>) {
        for row in rows {
            let same = self.demand.iter_mut().find(|known| {
                (&known.service, &known.model, &known.adapter)
                    == (&row.service, &row.model, &row.adapter)
            });
            match same {
                Some(known) => {
                    known.arrived += row.arrived;
                    known.work_ms += row.work_ms;
                }
                None => self.demand.push(row),
            }
        }
    }

    /// The load of this host and its subscribers, and the demand since the last call.
    pub fn take_local_sum(&mut self, own: &Digest) -> Digest {
        let reports = self.subscribers.values().map(|report| &report.loads);
        let loads = add_up(reports.chain([&own.loads]));
        Digest { loads, demand: std::mem::take(&mut self.demand) }
    }

    /// The load of all hosts, given that of this one and its subscribers; and which reports it
    /// includes.
    pub fn total(&self, own_sum: &Digest) -> (Vec<IncludedReport>, Vec<LoadRow>) {
        let elsewhere = self.elsewhere.values().map(|(loads, _)| loads);
        let loads = add_up(elsewhere.chain([&own_sum.loads]));
        let reported = self
            .subscribers
            .iter()
            .map(|(host, report)| IncludedReport { host: host.clone(), number: report.number });
        (reported.collect(), loads)
    }

    /// The load of all other hosts, given a sum that includes this host's report `number`.
    pub fn without_own(&mut self, number: u64, mut total: Vec<LoadRow>) -> Vec<LoadRow> {
        while self.sent.front().is_some_and(|report| report.number < number) {
            self.sent.pop_front();
        }
        let Some(own) = self.sent.front().filter(|report| report.number == number) else {
            return total;
        };
        let own: BTreeMap<&Incarnation, &LoadRow> =
            own.loads.iter().map(|row| (&row.upstream, row)).collect();
        for row in &mut total {
            if let Some(own) = own.get(&row.upstream) {
                subtract(row, own);
            }
        }
        total.retain(|row| row.running > 0 || row.good > 0 || row.bad > 0 || row.limit.is_some());
        total
    }

    /// Forgets hosts that fell silent; gives back their names.
    pub fn forget_silent(&mut self, now: Tick) -> Vec<Name> {
        let is_silent = |at: Tick, limit: u64| now.since(at) > limit;
        let subscribers = self.subscribers.iter();
        let left = subscribers.filter(|(_, report)| is_silent(report.at, SUBSCRIBER_MS));
        let elsewhere = self.elsewhere.iter();
        let gone = elsewhere.filter(|(_, (_, at))| is_silent(*at, ELSEWHERE_MS));
        let left = left.map(|(host, _)| host);
        let silent: Vec<Name> = left.chain(gone.map(|(host, _)| host)).cloned().collect();
        self.listeners.retain(|_, at| !is_silent(*at, SUBSCRIBER_MS));
        for host in &silent {
            self.subscribers.remove(host);
            self.elsewhere.remove(host);
        }
        silent
    }
}

fn add_up<'a>(parts: impl Iterator<Item = &'a Vec<LoadRow>>) -> Vec<LoadRow> {
    let mut sums: BTreeMap<Incarnation, LoadRow> = BTreeMap::new();
    for row in parts.flatten() {
        match sums.get_mut(&row.upstream) {
            Some(sum) => add(sum, row),
            None => {
                sums.insert(row.upstream.clone(), row.clone());
            }
        }
    }
    sums.into_values().collect()
}

fn add(sum: &mut LoadRow, row: &LoadRow) {
    sum.running += row.running;
    sum.unread_tokens += row.unread_tokens;
    sum.held_tokens += row.held_tokens;
    sum.good = sum.good.saturating_add(row.good);
    sum.bad = sum.bad.saturating_add(row.bad);
    sum.limit = LimitRow::newer(sum.limit, row.limit);
}

fn subtract(sum: &mut LoadRow, row: &LoadRow) {
    sum.running = sum.running.saturating_sub(row.running);
    sum.unread_tokens = sum.unread_tokens.saturating_sub(row.unread_tokens);
    sum.held_tokens = sum.held_tokens.saturating_sub(row.held_tokens);
    sum.good = sum.good.saturating_sub(row.good);
    sum.bad = sum.bad.saturating_sub(row.bad);
}
