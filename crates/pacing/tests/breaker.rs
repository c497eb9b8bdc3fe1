//! Requests are held back from an engine that breaks them off.

use std::{cmp::Reverse, collections::BinaryHeap};
use vanetally_pacing::{BreakerTransition, Pacer, Prompt, SendSlot, SlotReply};
use vanetally_types::{Incarnation, Tick};

/// Recorded arrival times of requests for one engine with one of few replicas of a busy model, each
/// request at another host. The engine was down twice, and all requests within `DOWN_MS` were lost.
const ARRIVALS_MS: [u64; 60] = [
    270, 340, 660, 710, 1240, 1940, 2170, 2990, 3910, 4010, 4060, 4060, 4120, 4130, 4210, 4270,
    4320, 4340, 4570, 4650, 4680, 5030, 5240, 5590, 6390, 6450, 6530, 6530, 6590, 6620, 6990, 7000,
    7020, 7180, 7210, 7210, 7240, 7280, 7390, 7470, 7470, 7550, 7660, 7790, 7830, 7910, 8150, 8310,
    8560, 8560, 8570, 8700, 9070, 9080, 9170, 9190, 9220, 9220, 9270, 9340,
];
const DOWN_MS: [std::ops::Range<u64>; 2] = [2_500..4_420, 6_390..8_250];
/// Time after which a failed request is reported.
const FAILURE_MS: u64 = 9;
/// Time after which the first piece of an answer arrives.
const FIRST_PIECE_MS: u64 = 90;
/// Maximum time that a caller waits.
const WAIT_LIMIT_MS: u64 = 3_900;

fn prompt() -> Prompt {
    Prompt {
        upstream: "i-1".into(),
        model: "m1".into(),
        shared: Vec::new(),
        tokens: 1,
        per_token_us: 1,
        gap_ms: 400,
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Outcome { is_good: bool },
    Reserve { arrived: u64 },
}

/// The outcomes of the requests.
#[derive(Debug, Default)]
struct Totals {
    lost: usize,
    served: usize,
    refused: usize,
    longest_wait_ms: u64,
}

fn simulate(arrivals: &[u64], is_lost: impl Fn(u64) -> bool) -> Totals {
    let mut pacer = Pacer::default();
    let upstream: Incarnation = "i-1".into();
    let reservations = arrivals.iter().map(|at| Reverse((*at, Event::Reserve { arrived: *at })));
    let mut events: BinaryHeap<_> = reservations.collect();
    let mut totals = Totals::default();
    while let Some(Reverse((at, event))) = events.pop() {
        let arrived = match event {
            Event::Outcome { is_good } => {
                pacer.record_outcome(Tick(at), &upstream, is_good);
                continue;
            }
            Event::Reserve { arrived } => arrived,
        };
        match pacer.reserve(Tick(at), &prompt()) {
            SlotReply::Granted(_) if is_lost(at) => {
                totals.lost += 1;
                events.push(Reverse((at + FAILURE_MS, Event::Outcome { is_good: false })));
            }
            SlotReply::Granted(SendSlot { is_trial, .. }) => {
                totals.served += 1;
                totals.longest_wait_ms = totals.longest_wait_ms.max(at - arrived);
                if is_trial {
                    events.push(Reverse((at + FIRST_PIECE_MS, Event::Outcome { is_good: true })));
                }
            }
            SlotReply::Busy { .. } if at - arrived > WAIT_LIMIT_MS => totals.refused += 1,
            SlotReply::Busy { retry_ms } => {
                events.push(Reverse((at + u64::from(retry_ms).max(1), Event::Reserve { arrived })));
            }
        }
    }
    totals
}

/// Of the 34 requests that arrive while the engine is down, few are lost; the others wait until it
/// is back.
#[test]
fn engine_down() {
    let is_down = |at| DOWN_MS.iter().any(|down| down.contains(&at));
    assert_eq!(ARRIVALS_MS.iter().filter(|at| is_down(**at)).count(), 34);
    let totals = simulate(&ARRIVALS_MS, is_down);
    assert!(totals.lost <= 10, "{totals:?}");
    assert_eq!(totals.refused, 0, "{totals:?}");
    assert!(totals.longest_wait_ms < 2_700, "{totals:?}");
}

/// The breaker stays closed for an engine that loses one request in twenty: holding requests back
/// would not help.
#[test]
fn occasional_failures() {
    let arrivals: Vec<u64> = (0..600).map(|number| number * 17).collect();
    let totals = simulate(&arrivals, |at| at % 340 == 0);
    assert_eq!((totals.lost, totals.refused), (30, 0));
    assert_eq!(totals.longest_wait_ms, 0);
}

/// A single failure is no evidence; the second one opens the breaker, and a successful trial closes
/// it.
#[test]
fn opens_and_closes() {
    let upstream: Incarnation = "i-1".into();
    let mut pacer = Pacer::default();
    pacer.reserve(Tick(0), &prompt());
    pacer.reserve(Tick(10), &prompt());
    assert_eq!(pacer.record_outcome(Tick(20), &upstream, false), None);
    let opened = pacer.record_outcome(Tick(30), &upstream, false);
    assert_eq!(opened, Some(BreakerTransition::Opened { pause_ms: 200 }));
    assert!(matches!(pacer.reserve(Tick(40), &prompt()), SlotReply::Busy { .. }));
    assert_eq!(pacer.record_outcome(Tick(50), &upstream, false), None, "sent before it opened");
    let trial = pacer.reserve(Tick(230), &prompt());
    assert!(matches!(trial, SlotReply::Granted(SendSlot { is_trial: true, .. })), "{trial:?}");
    assert!(matches!(pacer.reserve(Tick(240), &prompt()), SlotReply::Busy { .. }));
    assert_eq!(pacer.record_outcome(Tick(300), &upstream, true), Some(BreakerTransition::Closed));
    let slot = pacer.reserve(Tick(310), &prompt());
    assert!(matches!(slot, SlotReply::Granted(SendSlot { is_trial: false, .. })), "{slot:?}");
}

/// The host that sent a trial may have stopped, so another trial is allowed later.
#[test]
fn trial_without_outcome() {
    let upstream: Incarnation = "i-1".into();
    let mut pacer = Pacer::default();
    pacer.reserve(Tick(0), &prompt());
    pacer.record_outcome(Tick(10), &upstream, false);
    pacer.record_outcome(Tick(10), &upstream, false);
    assert!(matches!(pacer.reserve(Tick(210), &prompt()), SlotReply::Granted(_)));
    assert!(matches!(pacer.reserve(Tick(800), &prompt()), SlotReply::Busy { .. }));
    assert!(matches!(pacer.reserve(Tick(810), &prompt()), SlotReply::Granted(_)));
}

/// Outcomes of an engine without reservations, or one that has gone, leave no state.
#[test]
fn unknown_engine() {
    let mut pacer = Pacer::default();
    assert_eq!(pacer.record_outcome(Tick(0), &"i-9".into(), false), None);
    assert_eq!(pacer.record_outcome(Tick(0), &"i-9".into(), false), None);
}
