//! The sum of the loads of many hosts, and of the requests that wait there.
//!
//! A sum is a [`Digest`] without demand, which is forwarded once instead of summed.

use std::collections::{BTreeMap, VecDeque};
use vanetally_dispatch::{DemandRow, Digest, LimitRow, LoadRow, WaitCounts, WaitRow};
use vanetally_types::{Incarnation, Name, Rank, Tick};

/// Identifies the report of a host that a total includes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct IncludedReport {
    /// The host.
    pub host: Name,
    /// The number of the report.
    pub number: u64,
}

/// A load report and when it was sent or received.
#[derive(Clone, Debug)]
struct Report {
    number: u64,
    digest: Digest,
    at: Tick,
}

/// The loads that this host reported and those that it received from others.
#[derive(Clone, Debug, Default)]
pub struct Totals {
    /// This host's reports that a future total may include, oldest first.
    own_reports: VecDeque<Report>,
    next_number: u64,
    /// Hosts that report to this one, with their last report.
    subscribers: BTreeMap<Name, Report>,
    /// Aggregators that read store data from this host, and when they last confirmed it.
    listeners: BTreeMap<Name, Tick>,
    /// Sums of other aggregators, and when they were received.
    peer_sums: BTreeMap<Name, (Digest, Tick)>,
    /// The load beyond this host and its subscribers, by the host that it reports to, and when it was received.
    outer: Option<(Digest, Tick)>,
    /// Demand that was not forwarded yet.
    demand: Vec<DemandRow>,
}

/// Maximum number of this host's reports kept.
const MAX_OWN_REPORTS: usize = 64;
/// Time without a message after which a subscriber or listener is dropped.
const SUBSCRIBER_TIMEOUT_MS: u64 = 2_000;
/// Time without an update after which another aggregator's sum is dropped.
const PEER_SUM_TIMEOUT_MS: u64 = 2_000;

impl Totals {
    /// Records a report of this host before it is sent and returns its number.
    pub fn number_report(&mut self, now: Tick, digest: &Digest) -> u64 {
        let number = self.next_number;
        self.next_number += 1;
        self.own_reports.push_back(Report {
            number,
            digest: without_demand(digest.clone()),
            at: now,
        });
        if self.own_reports.len() > MAX_OWN_REPORTS {
            self.own_reports.pop_front();
        }
        number
    }

    /// Records a report of a subscriber.
    pub fn record_report(&mut self, now: Tick, host: Name, number: u64, digest: Digest) {
        let Digest { loads, demand, waiting } = digest;
        self.add_demand(demand);
        self.listeners.remove(&host);
        let digest = Digest { loads, demand: Vec::new(), waiting };
        self.subscribers.insert(host, Report { number, digest, at: now });
    }

    /// Adds a subscriber, or keeps it from being dropped.
    pub fn subscribe(&mut self, now: Tick, host: Name) {
        self.subscribers
            .entry(host)
            .or_insert(Report { number: 0, digest: Digest::default(), at: now })
            .at = now;
    }

    /// Adds an aggregator that reads store data from this host.
    pub fn add_listener(&mut self, now: Tick, host: Name) {
        self.subscribers.remove(&host);
        self.listeners.insert(host, now);
    }

    /// Removes a subscriber or listener.
    pub fn unsubscribe(&mut self, host: &Name) {
        self.subscribers.remove(host);
        self.listeners.remove(host);
    }

    /// Returns the hosts that report to this one and receive its messages.
    pub fn subscribers(&self) -> impl Iterator<Item = &Name> {
        self.subscribers.keys()
    }

    /// Returns the aggregators that read store data from this host.
    pub fn listeners(&self) -> impl Iterator<Item = &Name> {
        self.listeners.keys()
    }

    /// Records the sum of another aggregator.
    pub fn record_sum(&mut self, now: Tick, from: Name, sum: Digest) {
        self.peer_sums.insert(from, (without_demand(sum), now));
    }

    /// Records the load beyond this host and its subscribers, by the host that it reports to.
    pub fn record_outer(&mut self, now: Tick, sum: Digest) {
        self.outer = Some((without_demand(sum), now));
    }

    /// Discards the load beyond this host and its subscribers, when the host that it reports to changes.
    pub fn discard_outer(&mut self) {
        self.outer = None;
    }

    /// Returns the aggregators whose sums are known.
    pub fn peer_aggregators(&self) -> impl Iterator<Item = &Name> {
        self.peer_sums.keys()
    }

    /// Adds to the demand that was not forwarded yet.
    pub fn add_demand(&mut self, rows: Vec<DemandRow>) {
        for row in rows {
            let matching = self.demand.iter_mut().find(|known| {
                (&known.service, &known.model, &known.adapter)
                    == (&row.service, &row.model, &row.adapter)
            });
            match matching {
                Some(known) => {
                    known.arrived += row.arrived;
                    known.work_ms += row.work_ms;
                }
                None => self.demand.push(row),
            }
        }
    }

    /// Returns the load of this host and its subscribers, and takes the demand since the last call.
    pub fn take_local_sum(&mut self, own: &Digest) -> Digest {
        let reports = self.subscribers.values().map(|report| &report.digest);
        let sum = sum_digests(reports.chain([own]));
        Digest { demand: std::mem::take(&mut self.demand), ..sum }
    }

    /// Returns the load of all hosts and the reports that it includes.
    ///
    /// `local_sum` is the load of this host and its subscribers.
    pub fn total(&self, local_sum: &Digest) -> (Vec<IncludedReport>, Digest) {
        let total = match &self.outer {
            // It includes the sums of all aggregators.
            Some((outer, _)) => sum_digests([outer, local_sum].into_iter()),
            None => {
                let peer_sums = self.peer_sums.values().map(|(sum, _)| sum);
                sum_digests(peer_sums.chain([local_sum]))
            }
        };
        let included = self
            .subscribers
            .iter()
            .map(|(host, report)| IncludedReport { host: host.clone(), number: report.number });
        (included.collect(), total)
    }

    /// Returns the load of all other hosts, given a total that includes this host's report `number`.
    pub fn without_own(&mut self, number: u64, mut total: Digest) -> Digest {
        while self.own_reports.front().is_some_and(|report| report.number < number) {
            self.own_reports.pop_front();
        }
        let Some(own) = self.own_reports.front().filter(|report| report.number == number) else {
            return total;
        };
        let own = &own.digest;
        subtract_loads(&mut total.loads, &own.loads);
        subtract_waiting(&mut total.waiting, &own.waiting);
        total
    }

    /// Drops hosts that no longer send messages; returns their names.
    pub fn forget_silent(&mut self, now: Tick) -> Vec<Name> {
        let is_silent = |at: Tick, limit: u64| now.since(at) > limit;
        let subscribers = self.subscribers.iter();
        let silent_subscribers =
            subscribers.filter(|(_, report)| is_silent(report.at, SUBSCRIBER_TIMEOUT_MS));
        let peers = self.peer_sums.iter();
        let silent_peers = peers.filter(|(_, (_, at))| is_silent(*at, PEER_SUM_TIMEOUT_MS));
        let silent_subscribers = silent_subscribers.map(|(host, _)| host);
        let silent: Vec<Name> =
            silent_subscribers.chain(silent_peers.map(|(host, _)| host)).cloned().collect();
        self.listeners.retain(|_, at| !is_silent(*at, SUBSCRIBER_TIMEOUT_MS));
        self.outer.take_if(|(_, at)| is_silent(*at, PEER_SUM_TIMEOUT_MS));
        for host in &silent {
            self.subscribers.remove(host);
            self.peer_sums.remove(host);
        }
        silent
    }
}

fn without_demand(digest: Digest) -> Digest {
    Digest { demand: Vec::new(), ..digest }
}

fn sum_digests<'a>(parts: impl Iterator<Item = &'a Digest> + Clone) -> Digest {
    Digest {
        loads: sum_loads(parts.clone().flat_map(|part| &part.loads)),
        demand: Vec::new(),
        waiting: sum_waiting(parts.flat_map(|part| &part.waiting)),
    }
}

/// Adds up the rows of each upstream.
fn sum_loads<'a>(rows: impl Iterator<Item = &'a LoadRow>) -> Vec<LoadRow> {
    let mut sums: BTreeMap<Incarnation, LoadRow> = BTreeMap::new();
    for row in rows {
        match sums.get_mut(&row.upstream) {
            Some(sum) => add(sum, row),
            None => {
                sums.insert(row.upstream.clone(), row.clone());
            }
        }
    }
    sums.into_values().collect()
}

/// What the rows of waiting requests are summed by.
type WaitKey<'a> = (&'a Name, &'a Option<Name>, Rank);

fn wait_key(row: &WaitRow) -> WaitKey<'_> {
    (&row.service, &row.model, row.rank)
}

/// Adds up the rows of each model and rank; empty sums are omitted.
fn sum_waiting<'a>(rows: impl Iterator<Item = &'a WaitRow>) -> Vec<WaitRow> {
    let mut sums: BTreeMap<WaitKey<'_>, WaitCounts> = BTreeMap::new();
    for row in rows {
        sums.entry(wait_key(row)).or_default().add(row.counts);
    }
    let filled = sums.into_iter().filter(|(_, counts)| !counts.is_empty());
    let rows = filled.map(|((service, model, rank), counts)| WaitRow {
        service: service.clone(),
        model: model.clone(),
        rank,
        counts,
    });
    rows.collect()
}

/// Subtracts a host's own rows from a total; rows that become empty are removed.
fn subtract_loads(total: &mut Vec<LoadRow>, own: &[LoadRow]) {
    let own: BTreeMap<&Incarnation, &LoadRow> =
        own.iter().map(|row| (&row.upstream, row)).collect();
    for row in total.iter_mut() {
        if let Some(own) = own.get(&row.upstream) {
            subtract(row, own);
        }
    }
    total.retain(|row| row.running > 0 || row.good > 0 || row.bad > 0 || row.limit.is_some());
}

/// Subtracts a host's own rows from a total; rows that become empty are removed.
fn subtract_waiting(total: &mut Vec<WaitRow>, own: &[WaitRow]) {
    let own: BTreeMap<WaitKey<'_>, WaitCounts> =
        own.iter().map(|row| (wait_key(row), row.counts)).collect();
    for row in total.iter_mut() {
        if let Some(own) = own.get(&wait_key(row)) {
            row.counts.subtract(*own);
        }
    }
    total.retain(|row| !row.counts.is_empty());
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
