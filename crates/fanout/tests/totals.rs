//! The sum of the loads of many hosts.

use vanetally_dispatch::{DemandRow, Digest, LimitRow, LoadRow, WaitCounts, WaitRow};
use vanetally_fanout::Totals;
use vanetally_types::{Rank, Tick};

const NOW: Tick = Tick(1_000_000);

fn load(upstream: &str, running: u32) -> LoadRow {
    LoadRow {
        upstream: upstream.into(),
        running,
        unread_tokens: running * 100,
        held_tokens: running * 1_000,
        good: 1,
        bad: 0,
        limit: None,
    }
}

fn digest(loads: &[LoadRow]) -> Digest {
    Digest { loads: loads.to_vec(), demand: Vec::new(), waiting: Vec::new() }
}

fn demand(model: &str, arrived: u32) -> DemandRow {
    DemandRow {
        service: "llm".into(),
        model: model.into(),
        adapter: None,
        arrived,
        work_ms: arrived * 10,
    }
}

fn running(sum: &Digest) -> Vec<(String, u32)> {
    sum.loads.iter().map(|row| (row.upstream.to_string(), row.running)).collect()
}

/// A subscriber computes the load of the others as the total without its own report.
#[test]
fn own_report_subtracted() {
    let mut aggregator = Totals::default();
    let mut first = Totals::default();
    let own = digest(&[load("r1", 2)]);
    let number = first.number_report(NOW, &own);
    aggregator.record_report(NOW, "h1".into(), number, own);
    aggregator.record_report(NOW, "h2".into(), 7, digest(&[load("r1", 3), load("r2", 1)]));
    let sum = aggregator.take_local_sum(&digest(&[load("r2", 4)]));
    let (included, total) = aggregator.total(&sum);
    assert_eq!(running(&total), [("r1".into(), 5), ("r2".into(), 5)]);
    let included = included.iter().find(|one| &*one.host == "h1").unwrap();
    assert_eq!(included.number, number);
    // It has sent another report since; only the included one is subtracted.
    first.number_report(NOW + 100, &digest(&[load("r1", 9)]));
    let others = first.without_own(included.number, total);
    assert_eq!(running(&others), [("r1".into(), 3), ("r2".into(), 5)]);
}

/// Nothing is subtracted for a report that is no longer kept: counting load twice is better than losing it.
#[test]
fn unknown_report() {
    let mut totals = Totals::default();
    let others = totals.without_own(3, digest(&[load("r1", 2)]));
    assert_eq!(running(&others), [("r1".into(), 2)]);
}

/// Sums of other aggregators are sent to subscribers, never back to aggregators.
#[test]
fn peer_sums_not_echoed() {
    let mut aggregator = Totals::default();
    aggregator.record_sum(NOW, "far".into(), digest(&[load("r1", 8)]));
    let sum = aggregator.take_local_sum(&digest(&[load("r1", 1)]));
    assert_eq!(running(&sum), [("r1".into(), 1)]);
    assert_eq!(running(&aggregator.total(&sum).1), [("r1".into(), 9)]);
}

#[test]
fn demand_forwarded_once() {
    let mut aggregator = Totals::default();
    let report = Digest {
        loads: Vec::new(),
        demand: vec![demand("m1", 2), demand("m2", 1)],
        waiting: Vec::new(),
    };
    aggregator.record_report(NOW, "h1".into(), 0, report);
    aggregator.add_demand(vec![demand("m1", 3)]);
    let sum = aggregator.take_local_sum(&Digest::default());
    assert_eq!(sum.demand, [demand("m1", 5), demand("m2", 1)]);
    assert_eq!(aggregator.take_local_sum(&Digest::default()).demand, []);
}

#[test]
fn silent_hosts_dropped() {
    let mut aggregator = Totals::default();
    aggregator.subscribe(NOW, "h1".into());
    aggregator.record_sum(NOW, "far".into(), digest(&[load("r1", 8)]));
    assert_eq!(aggregator.forget_silent(NOW + 1_000).len(), 0);
    let silent: Vec<String> =
        aggregator.forget_silent(NOW + 3_000).iter().map(ToString::to_string).collect();
    assert_eq!(silent, ["h1", "far"]);
    assert_eq!(aggregator.subscribers().count(), 0);
}

/// A total holds the newest rate limit of each upstream, also for hosts without load there; subtracting a report keeps
/// the limit.
#[test]
fn newest_limit() {
    let row = |rate, age_ms| LoadRow { limit: Some(LimitRow { rate, age_ms }), ..load("r1", 0) };
    let mut aggregator = Totals::default();
    aggregator.record_report(NOW, "h1".into(), 1, digest(&[row(Some(1.5), 900)]));
    aggregator.record_report(NOW, "h2".into(), 1, digest(&[row(None, 100)]));
    let sum = aggregator.take_local_sum(&digest(&[row(Some(1.5), 400)]));
    let (_, total) = aggregator.total(&sum);
    let newest = LimitRow { rate: None, age_ms: 100 };
    assert_eq!(total.loads[0].limit, Some(newest));
    let mut host = Totals::default();
    let number = host.number_report(NOW, &digest(&[LoadRow { good: 3, ..load("r1", 0) }]));
    assert_eq!(
        host.without_own(number, total).loads[0].limit,
        Some(newest),
        "its own load is subtracted"
    );
}

/// A relay reports the sum of its subscribers, and sends them the load of all others with its own sum.
#[test]
fn relay() {
    let (mut relay, mut aggregator) = (Totals::default(), Totals::default());
    relay.record_report(NOW, "leaf".into(), 5, digest(&[load("r1", 2)]));
    let sum = relay.take_local_sum(&digest(&[load("r1", 1)]));
    let number = relay.number_report(NOW, &sum);
    aggregator.record_report(NOW, "relay".into(), number, sum);
    aggregator.record_report(NOW, "other".into(), 1, digest(&[load("r2", 7)]));
    let sum = aggregator.take_local_sum(&digest(&[load("r1", 4)]));
    let (_, total) = aggregator.total(&sum);
    let outer = relay.without_own(number, total);
    assert_eq!(running(&outer), [("r1".into(), 4), ("r2".into(), 7)]);
    relay.record_outer(NOW, outer);
    // A sum that it receives as the holder of the order lease is part of the outer load.
    relay.record_sum(NOW, "far".into(), digest(&[load("r2", 7)]));
    let sum = relay.take_local_sum(&digest(&[load("r1", 1)]));
    let (included, total) = relay.total(&sum);
    assert_eq!(running(&total), [("r1".into(), 7), ("r2".into(), 7)]);
    assert_eq!((&*included[0].host, included[0].number, included.len()), ("leaf", 5, 1));
}

/// The host that the relay reports to is silent, or replaced.
#[test]
fn outer_load_expires() {
    let mut relay = Totals::default();
    relay.record_outer(NOW, digest(&[load("r1", 4)]));
    relay.forget_silent(NOW + 1_000);
    assert_eq!(running(&relay.total(&Default::default()).1), [("r1".into(), 4)]);
    relay.forget_silent(NOW + 2_001);
    assert!(relay.total(&Default::default()).1.loads.is_empty());
    relay.record_outer(NOW, digest(&[load("r1", 4)]));
    relay.discard_outer();
    assert!(relay.total(&Default::default()).1.loads.is_empty());
}

fn waiting(model: &str, rank: Rank, on_time: u32) -> WaitRow {
    let counts =
        WaitCounts { on_time, due_soon: on_time / 2, late: 1, sent: on_time * 3, sent_late: 2 };
    WaitRow { service: "llm".into(), model: Some(model.into()), rank, counts }
}

fn waiting_digest(rows: &[WaitRow]) -> Digest {
    Digest { loads: Vec::new(), demand: Vec::new(), waiting: rows.to_vec() }
}

fn on_time(sum: &Digest) -> Vec<(String, u8, u32)> {
    let rows = sum.waiting.iter();
    rows.map(|row| {
        (row.model.iter().map(|model| &**model).collect(), row.rank.1, row.counts.on_time)
    })
    .collect()
}

/// Rows of waiting requests are summed by model and rank, a subscriber's own are subtracted, and empty ones are omitted.
/// Guards against a host that yields to its own requests.
#[test]
fn waiting_summed() {
    let (mut aggregator, mut host) = (Totals::default(), Totals::default());
    let own = waiting_digest(&[waiting("m1", Rank(1, 1), 4), waiting("m2", Rank(0, 0), 2)]);
    let number = host.number_report(NOW, &own);
    aggregator.record_report(NOW, "h1".into(), number, own);
    let second = waiting_digest(&[waiting("m1", Rank(1, 1), 6), waiting("m1", Rank(1, 2), 1)]);
    aggregator.record_report(NOW, "h2".into(), 3, second);
    aggregator.record_sum(NOW, "far".into(), waiting_digest(&[waiting("m1", Rank(1, 1), 10)]));
    let empty = WaitRow { counts: WaitCounts::default(), ..waiting("m3", Rank(1, 1), 0) };
    let sum = aggregator.take_local_sum(&waiting_digest(&[empty]));
    let (_, total) = aggregator.total(&sum);
    assert_eq!(on_time(&total), [("m1".into(), 1, 20), ("m1".into(), 2, 1), ("m2".into(), 0, 2)]);
    let counts = total.waiting[0].counts;
    assert_eq!((counts.due_soon, counts.late, counts.sent, counts.sent_late), (10, 3, 60, 6));
    let others = host.without_own(number, total);
    assert_eq!(on_time(&others), [("m1".into(), 1, 16), ("m1".into(), 2, 1)]);
}

/// A relay passes the waiting requests of all other hosts on to its subscribers.
#[test]
fn waiting_passed_on_by_relay() {
    let mut relay = Totals::default();
    relay.record_outer(NOW, waiting_digest(&[waiting("m1", Rank(1, 1), 5)]));
    let sum = relay.take_local_sum(&waiting_digest(&[waiting("m1", Rank(1, 1), 2)]));
    assert_eq!(on_time(&relay.total(&sum).1), [("m1".into(), 1, 7)]);
}
