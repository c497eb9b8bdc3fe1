//! How recently a host's configuration was confirmed as the newest, over several hosts and slow links.

use proptest::prelude::*;
use vanetally_fanout::{Freshness, SourceStatus};
use vanetally_types::Tick;

const START: Tick = Tick(1_000_000);

fn status(incarnation: u64, written_at: Tick, age_ms: u64, version: u64) -> SourceStatus {
    SourceStatus { host: "source".into(), incarnation, written_at, age_ms: Some(age_ms), version }
}

/// Returns a host whose clock is `ahead` of the source's and whose clock request took `trip_ms`.
fn follower(ahead: u64, trip_ms: u64) -> Freshness {
    let mut freshness = Freshness::default();
    let written_at = START + trip_ms;
    freshness.record_clock(START + ahead, &status(1, written_at, 0, 5), 5);
    freshness
}

#[test]
fn store_reader() {
    let mut freshness = Freshness::default();
    assert_eq!(freshness.confirmed_at(), None);
    freshness.record_read(START);
    freshness.record_read(START - 500);
    assert_eq!(freshness.confirmed_at(), Some(START), "a late answer confirms nothing newer");
    assert_eq!(freshness.age_ms(START + 700), Some(700));
}

/// The stated age does not include the time in transit: a status that was delayed for ten seconds counts from when it
/// was written.
#[test]
fn delayed_status() {
    let mut freshness = follower(3_000, 2);
    freshness.record_status(&status(1, START + 1_000, 100, 5), 5);
    assert_eq!(freshness.confirmed_at(), Some(START + 3_000 + 1_000 - 100 - 2));
}

#[test]
fn slow_clock_request() {
    let mut freshness = follower(0, 900);
    freshness.record_status(&status(1, START + 1_000, 0, 5), 5);
    assert_eq!(freshness.confirmed_at(), Some(START + 100), "older by the duration of the request");
    freshness.record_clock(START + 2_000, &status(1, START + 2_003, 0, 5), 5);
    freshness.record_status(&status(1, START + 2_500, 0, 5), 5);
    assert_eq!(freshness.confirmed_at(), Some(START + 2_497), "a faster request is more precise");
    freshness.record_clock(START + 4_000, &status(1, START + 5_000, 0, 5), 5);
    freshness.record_status(&status(1, START + 6_000, 0, 5), 5);
    assert_eq!(freshness.confirmed_at(), Some(START + 5_997), "a slower request changes nothing");
}

#[test]
fn older_configuration() {
    let mut freshness = follower(0, 0);
    freshness.record_status(&status(1, START + 1_000, 0, 6), 5);
    assert_eq!(freshness.confirmed_at(), Some(START), "the source has a newer version");
    freshness.record_status(&status(1, START + 1_200, 0, 6), 6);
    assert_eq!(freshness.confirmed_at(), Some(START + 1_200));
}

#[test]
fn restarted_source() {
    let mut freshness = follower(0, 0);
    freshness.record_status(&status(2, START + 60_000, 0, 5), 5);
    assert_eq!(freshness.confirmed_at(), Some(START), "its clock restarted");
}

#[test]
fn source_without_age() {
    let mut freshness = follower(0, 0);
    freshness.record_status(&SourceStatus { age_ms: None, ..status(1, START + 500, 0, 5) }, 5);
    assert_eq!(freshness.confirmed_at(), Some(START));
}

#[test]
fn clock_request_interval() {
    let mut freshness = Freshness::default();
    assert!(freshness.should_request_clock(START, &"a".into()));
    assert!(!freshness.should_request_clock(START + 100, &"a".into()));
    assert!(freshness.should_request_clock(START + 200, &"b".into()), "another source");
    assert!(freshness.should_request_clock(START + 2_300, &"b".into()));
}

/// A step of a chain of three hosts, of which the first reads the store. Clocks differ, and messages take any time.
#[derive(Clone, Debug)]
enum Step {
    /// Time passes.
    Pass(u64),
    /// The first host reads the store; the answer takes this many milliseconds.
    Read(u64),
    /// A host requests the clock of the one before it; milliseconds of the request and of the reply.
    RequestClock(usize, u64, u64),
    /// A host receives a status that the one before it wrote this many milliseconds ago.
    ReceiveStatus(usize, u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (1_u64..900).prop_map(Step::Pass),
        (0_u64..700).prop_map(Step::Read),
        (1_usize..3, 0_u64..900, 0_u64..900)
            .prop_map(|(host, to, back)| Step::RequestClock(host, to, back)),
        (1_usize..3, 0_u64..5_000).prop_map(|(host, late)| Step::ReceiveStatus(host, late)),
    ]
}

proptest! {
    /// No host considers its configuration confirmed later than the last call to the store was sent.
    #[test]
    fn never_too_new(steps in proptest::collection::vec(step(), 1..80), skew in 0_u64..500_000) {
        // Each host's clock is ahead of the true time by a constant.
        let clocks = [0, skew, skew * 2];
        let mut hosts = [Freshness::default(), Freshness::default(), Freshness::default()];
        // What each host considered confirmed, by true time.
        let mut now = START;
        let mut history: Vec<(Tick, [Option<Tick>; 3])> = Vec::new();
        let mut last_store_call = Tick(0);
        for step in steps {
            match step {
                Step::Pass(ms) => now = now + ms,
                Step::Read(ms) => {
                    last_store_call = last_store_call.max(now);
                    hosts[0].record_read(now);
                    now = now + ms;
                }
                Step::RequestClock(host, to, back) => {
                    let requested = now + clocks[host];
                    now = now + to;
                    let written_at = now + clocks[host - 1];
                    let age_ms = hosts[host - 1].age_ms(written_at);
                    let status = SourceStatus { age_ms, ..status(1, written_at, 0, 5) };
                    now = now + back;
                    hosts[host].record_clock(requested, &status, 5);
                }
                Step::ReceiveStatus(host, late) => {
                    let sent = history.iter().rev().find(|(at, _)| now.since(*at) >= late);
                    if let Some((at, known)) = sent {
                        let written_at = *at + clocks[host - 1];
                        let age_ms = known[host - 1].map(|confirmed| written_at.since(confirmed));
                        let status = SourceStatus { age_ms, ..status(1, written_at, 0, 5) };
                        hosts[host].record_status(&status, 5);
                    }
                }
            }
            let known = [0, 1, 2].map(|host| hosts[host].confirmed_at());
            history.push((now, known));
            for (host, confirmed) in known.into_iter().enumerate() {
                let limit = last_store_call + clocks[host];
                prop_assert!(confirmed.is_none_or(|at| at <= limit), "host {host}: {confirmed:?} > {limit:?}");
            }
        }
    }
}
