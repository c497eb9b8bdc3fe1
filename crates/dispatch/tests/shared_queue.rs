//! The queue over all hosts under a burst of four times the capacity.

#[path = "support/burst.rs"]
mod burst;
mod support;

use burst::{Burst, Outcome, Record, Replay, URGENT};
use std::sync::OnceLock;

const CALM_S: std::ops::Range<usize> = 1..3;
const BURST_S: std::ops::Range<usize> = 3..6;
/// Seconds from two seconds after the burst on.
const AFTER_S: std::ops::Range<usize> = 8..10;
const PARTITIONED: usize = 0;
const REPLAY: Replay = Replay {
    hosts: 70,
    engines: 6,
    is_shared: true,
    load: 4.0,
    shares: [0.5, 0.15, 0.35],
    burst_s: (BURST_S.start, BURST_S.end),
    end_s: AFTER_S.end,
    partitioned: Some(PARTITIONED),
    seed: 7,
};

/// The replay of the burst at 70 hosts, of which one is partitioned.
fn burst() -> &'static Outcome {
    static BURST: OnceLock<Outcome> = OnceLock::new();
    BURST.get_or_init(|| Burst::new(REPLAY).run())
}

/// Returns how many requests of `kind` began in each second of `seconds`, on average.
fn began(burst: &Outcome, seconds: std::ops::Range<usize>, kind: impl Fn(&Record) -> bool) -> f64 {
    let per_second = burst.per_second(|record| record.began.filter(|_| kind(record)));
    per_second[seconds.clone()].iter().sum::<usize>() as f64 / seconds.len() as f64
}

/// Returns the sorted times from arrival to refusal.
fn refusal_ages(burst: &Outcome, kind: impl Fn(&Record) -> bool) -> Vec<u64> {
    let refused = burst.records.iter().filter(|record| kind(record));
    let mut ages: Vec<u64> =
        refused.filter_map(|r| r.refused.map(|at| at.since(r.arrived))).collect();
    ages.sort_unstable();
    ages
}

fn is_urgent(record: &Record) -> bool {
    record.route == URGENT
}

fn is_connected(record: &Record) -> bool {
    record.host != PARTITIONED
}

/// Guards against late work that displaces work that could be on time, in and after a burst.
#[test]
fn goodput_in_burst() {
    let replay = Replay { shares: [1.0, 0.0, 0.0], partitioned: None, ..REPLAY };
    let burst = Burst::new(replay).run();
    let on_time = |seconds| began(&burst, seconds, Record::is_on_time);
    let (calm, during, after) = (on_time(CALM_S), on_time(BURST_S), on_time(AFTER_S));
    println!("on time a second: {calm} before the burst, {during} in it, {after} after it");
    assert!(during >= 0.9 * calm, "{during} a second in the burst, {calm} before");
    assert!(after >= 0.9 * calm, "{after} a second after the burst, {calm} before");
}

/// Guards against refusals that could have been made on arrival.
#[test]
fn refused_early() {
    let ages = refusal_ages(burst(), |record| is_urgent(record) && is_connected(record));
    let median_ms = ages[ages.len() / 2];
    println!("{} urgent ones refused, after {median_ms} ms in the median", ages.len());
    assert!(median_ms <= 300, "{} refused, after {median_ms} ms in the median", ages.len());
}

/// Callers of refused requests must not return together.
#[test]
fn returns_spread() {
    let refused = burst().records.iter().filter(|r| is_urgent(r) && is_connected(r));
    let mut retries: Vec<u64> = refused.filter_map(|record| record.retry_ms).collect();
    retries.sort_unstable();
    retries.dedup();
    println!("{} values of Retry-After, up to {:?} ms", retries.len(), retries.last());
    assert!(retries.len() > 200, "{} different values", retries.len());
}

/// Urgent requests alone exceed the capacity: hosts without urgent ones must not send routine ones.
#[test]
fn urgent_first() {
    let seconds = BURST_S.start + 1..BURST_S.end;
    let urgent = began(burst(), seconds.clone(), |r| is_urgent(r) && r.is_on_time());
    let all = began(burst(), seconds, |_| true);
    println!("{urgent} urgent ones on time of {all} a second");
    assert!(urgent >= 0.8 * all, "{urgent} urgent ones on time of {all} a second");
}

/// A host without reports serves its own queue as without the feature: it holds nothing back, and
/// refuses no request before the end of its waiting time.
#[test]
fn partitioned_host() {
    let refused = |is_alone: bool| {
        refusal_ages(burst(), |record| is_urgent(record) && is_connected(record) != is_alone)
    };
    let alone = burst().records.iter().filter(|record| !is_connected(record));
    assert!(alone.clone().all(|record| record.held_ms == 0));
    assert!(alone.clone().filter(|record| record.began.is_some()).count() >= 40);
    assert!(refused(true).iter().all(|age| *age >= 2_300), "{:?}", refused(true));
    assert!(refused(false)[0] < 2_300, "the other hosts refuse by forecast");
}

/// Urgent requests leave little capacity: routine ones are held back, for at most half of their
/// waiting time, and are still served.
#[test]
fn nobody_starves() {
    let replay = Replay { load: 1.5, partitioned: None, ..REPLAY };
    let burst = Burst::new(replay).run();
    let ended = |record: &Record| record.began.is_some() || record.refused.is_some();
    assert!(burst.records.iter().all(ended));
    let held = burst.records.iter().filter(|record| record.held_ms > 0);
    let longest_ms = held.clone().map(|record| record.held_ms).max();
    assert!(longest_ms.is_some_and(|longest| longest > 0), "{} held back", held.count());
    let is_routine = |record: &Record| record.route != URGENT;
    let arrived = burst.records.iter().filter(|record| is_routine(record)).count();
    let served = burst.records.iter().filter(|r| is_routine(r) && r.is_on_time()).count();
    println!("{served} of {arrived} less urgent ones on time, held for at most {longest_ms:?} ms");
    assert!(served * 2 >= arrived, "{served} of {arrived} on time");
}

/// Rows depend on models and ranks, not on hosts. Guards against reports that grow with the fleet.
#[test]
fn large_fleet() {
    let replay =
        Replay { hosts: 985, engines: 12, burst_s: (2, 4), end_s: 5, partitioned: None, ..REPLAY };
    let burst = Burst::new(replay).run();
    let most = |rows: &[Vec<_>]| rows.iter().map(Vec::len).max().unwrap_or(0);
    assert_eq!((most(&burst.report_rows), most(&burst.sum_rows)), (2, 2));
    let is_calm = |rows: &&Vec<_>| rows.is_empty();
    assert!(burst.report_rows[..985].iter().all(|rows| is_calm(&rows)), "nothing waits at first");
    let urgent = began(&burst, 3..4, |r| is_urgent(r) && r.is_on_time());
    let all = began(&burst, 3..4, |_| true);
    println!("{urgent} urgent ones on time of {all} a second");
    assert!(urgent >= 0.8 * all, "{urgent} urgent ones on time of {all} a second");
}
