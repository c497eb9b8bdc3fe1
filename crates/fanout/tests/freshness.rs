//! How certainly a host has the newest configuration, over a tree of sources and slow links.

use proptest::prelude::*;
use vanetally_fanout::{Freshness, SourceStatus};
use vanetally_types::Tick;

const START: Tick = Tick(1_000_000);

fn status(incarnation: u64, written_at: Tick, age_ms: u64, version: u64) -> SourceStatus {
    SourceStatus { host: "source".into(), incarnation, written_at, age_ms: Some(age_ms), version }
}

/// A host whose clock shows `ahead` more than the source's, and which has asked for it within `trip_ms`.
fn follower(ahead: u64, trip_ms: u64) -> Freshness {
    let mut freshness = Freshness::default();
    let stated = START + trip_ms;
    freshness.record_clock(START + ahead, &status(1, stated, 0, 5), 5);
    freshness
}

#[test]
fn store_reader() {
    let mut freshness = Freshness::default();
    assert_eq!(freshness.confirmed_at(), None);
    freshness.record_read(START);
    freshness.record_read(START - 500);
    assert_eq!(freshness.confirmed_at(), Some(START), "an answer that comes late says nothing new");
    assert_eq!(freshness.age_ms(START + 700), Some(700));
}

/// An age that is told does not say how long it was on its way: a word that lay in a link for ten seconds is counted
/// from when it was written.
#[test]
fn delayed_word() {
    let mut freshness = follower(3_000, 2);
    freshness.record_status(&status(1, START + 1_000, 100, 5), 5);
    assert_eq!(freshness.confirmed_at(), Some(START + 3_000 + 1_000 - 100 - 2));
}

#[test]
fn slow_question() {
    let mut freshness = follower(0, 900);
    freshness.record_status(&status(1, START + 1_000, 0, 5), 5);
    assert_eq!(freshness.confirmed_at(), Some(START + 100), "older by what the question took");
    freshness.record_clock(START + 2_000, &status(1, START + 2_003, 0, 5), 5);
    freshness.record_status(&status(1, START + 2_500, 0, 5), 5);
    assert_eq!(freshness.confirmed_at(), Some(START + 2_497), "a quicker one says more");
    freshness.record_clock(START + 4_000, &status(1, START + 5_000, 0, 5), 5);
    freshness.record_status(&status(1, START + 6_000, 0, 5), 5);
    assert_eq!(freshness.confirmed_at(), Some(START + 5_997), "a slower one changes nothing");
}

#[test]
fn older_configuration() {
    let mut freshness = follower(0, 0);
    freshness.record_status(&status(1, START + 1_000, 0, 6), 5);
    assert_eq!(freshness.confirmed_at(), Some(START), "the source knows a newer one");
    freshness.record_status(&status(1, START + 1_200, 0, 6), 6);
    assert_eq!(freshness.confirmed_at(), Some(START + 1_200));
}

#[test]
fn restarted_source() {
    let mut freshness = follower(0, 0);
    freshness.record_status(&status(2, START + 60_000, 0, 5), 5);
    assert_eq!(freshness.confirmed_at(), Some(START), "its clock began anew");
}

#[test]
fn source_that_knows_nothing() {
    let mut freshness = follower(0, 0);
    freshness.record_status(&SourceStatus { age_ms: None, ..status(1, START + 500, 0, 5) }, 5);
    assert_eq!(freshness.confirmed_at(), Some(START));
}

#[test]
fn asked_now_and_then() {
    let mut freshness = Freshness::default();
    assert!(freshness.should_request_clock(START, &"a".into()));
    assert!(!freshness.should_request_clock(START + 100, &"a".into()));
    assert!(freshness.should_request_clock(START + 200, &"b".into()), "another source");
    assert!(freshness.should_request_clock(START + 2_300, &"b".into()));
}

/// Two hosts in a row below one that reads the store; clocks differ, questions and words take any time.
#[derive(Clone, Debug)]
enum Step {
    /// Time passes.
    Pass(u64),
    /// The first one reads the store; the answer takes so long.
    Read(u64),
    /// A host asks the one before it for its clock; the way there and back.
    Ask(usize, u64, u64),
    /// A host hears a word that the one before it wrote so long ago.
    Tell(usize, u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (1_u64..900).prop_map(Step::Pass),
        (0_u64..700).prop_map(Step::Read),
        (1_usize..3, 0_u64..900, 0_u64..900).prop_map(|(host, to, back)| Step::Ask(host, to, back)),
        (1_usize..3, 0_u64..5_000).prop_map(|(host, late)| Step::Tell(host, late)),
    ]
}

proptest! {
    /// No host believes its configuration newer than the last question that the store was asked.
    #[test]
    fn never_too_new(steps in proptest::collection::vec(step(), 1..80), skew in 0_u64..500_000) {
        // Each host's clock shows the true time and something more.
        let clocks = [0, skew, skew * 2];
        let mut hosts = [Freshness::default(), Freshness::default(), Freshness::default()];
        // What each host knew, by true time: questions of the store that are confirmed, at the latest.
        let mut now = START;
        let mut history: Vec<(Tick, [Option<Tick>; 3])> = Vec::new();
        let mut asked_of_store = Tick(0);
        for step in steps {
            match step {
                Step::Pass(ms) => now = now + ms,
                Step::Read(ms) => {
                    asked_of_store = asked_of_store.max(now);
                    hosts[0].record_read(now);
                    now = now + ms;
                }
                Step::Ask(host, to, back) => {
                    let asked = now + clocks[host];
                    now = now + to;
                    let stated = now + clocks[host - 1];
                    let age_ms = hosts[host - 1].age_ms(stated);
                    let status = SourceStatus { age_ms, ..status(1, stated, 0, 5) };
                    now = now + back;
                    hosts[host].record_clock(asked, &status, 5);
                }
                Step::Tell(host, late) => {
                    let written = history.iter().rev().find(|(at, _)| now.since(*at) >= late);
                    if let Some((at, known)) = written {
                        let stated = *at + clocks[host - 1];
                        let age_ms = known[host - 1].map(|confirmed| stated.since(confirmed));
                        let status = SourceStatus { age_ms, ..status(1, stated, 0, 5) };
                        hosts[host].record_status(&status, 5);
                    }
                }
            }
            let known = [0, 1, 2].map(|host| hosts[host].confirmed_at());
            history.push((now, known));
            for (host, confirmed) in known.into_iter().enumerate() {
                let limit = asked_of_store + clocks[host];
                prop_assert!(confirmed.is_none_or(|at| at <= limit), "host {host}: {confirmed:?} > {limit:?}");
            }
        }
    }
}
