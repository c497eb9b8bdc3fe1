//! Requests are kept off an engine that breaks them off.

use std::{cmp::Reverse, collections::BinaryHeap};
use vanetally_pacing::{BreakerTransition, Pacer, Prompt, SendSlot, SlotReply};
use vanetally_types::{Incarnation, Tick};

/// Arrivals at one engine, each at another host, in milliseconds: recorded while it went down and up twice and
/// held one of few replicas of a busy model. All of those in `DOWN` were lost.
const ARRIVALS: [u64; 60] = [
    270, 340, 660, 710, 1240, 1940, 2170, 2990, 3910, 4010, 4060, 4060, 4120, 4130, 4210, 4270,
    4320, 4340, 4570, 4650, 4680, 5030, 5240, 5590, 6390, 6450, 6530, 6530, 6590, 6620, 6990, 7000,
    7020, 7180, 7210, 7210, 7240, 7280, 7390, 7470, 7470, 7550, 7660, 7790, 7830, 7910, 8150, 8310,
    8560, 8560, 8570, 8700, 9070, 9080, 9170, 9190, 9220, 9220, 9270, 9340,
];
const DOWN: [std::ops::Range<u64>; 2] = [2_500..4_420, 6_390..8_250];
/// A request that the engine breaks off is known to be after this long, in milliseconds.
const BROKEN_MS: u64 = 9;
/// The first piece of an answer comes after this long, in milliseconds.
const FIRST_PIECE_MS: u64 = 90;
/// A caller waits this long, in milliseconds.
const PATIENCE_MS: u64 = 3_900;

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
    Told { is_good: bool },
    Ask { arrived: u64 },
}

/// What became of the requests.
#[derive(Debug, Default)]
struct Played {
    lost: usize,
    served: usize,
    refused: usize,
    longest_wait_ms: u64,
}

fn play(arrivals: &[u64], is_lost: impl Fn(u64) -> bool) -> Played {
    let mut pacer = Pacer::default();
    let upstream: Incarnation = "i-1".into();
    let asks = arrivals.iter().map(|at| Reverse((*at, Event::Ask { arrived: *at })));
    let mut events: BinaryHeap<_> = asks.collect();
    let mut played = Played::default();
    while let Some(Reverse((at, event))) = events.pop() {
        let arrived = match event {
            Event::Told { is_good } => {
                pacer.record_outcome(Tick(at), &upstream, is_good);
                continue;
            }
            Event::Ask { arrived } => arrived,
        };
        match pacer.reserve(Tick(at), &prompt()) {
            SlotReply::Granted(_) if is_lost(at) => {
                played.lost += 1;
                events.push(Reverse((at + BROKEN_MS, Event::Told { is_good: false })));
            }
            SlotReply::Granted(SendSlot { is_trial, .. }) => {
                played.served += 1;
                played.longest_wait_ms = played.longest_wait_ms.max(at - arrived);
                if is_trial {
                    events.push(Reverse((at + FIRST_PIECE_MS, Event::Told { is_good: true })));
                }
            }
            SlotReply::Busy { .. } if at - arrived > PATIENCE_MS => played.refused += 1,
            SlotReply::Busy { retry_ms } => {
                events.push(Reverse((at + u64::from(retry_ms).max(1), Event::Ask { arrived })));
            }
        }
    }
    played
}

/// Of 34 requests that an engine lost while it was down twice, few are lost; the others wait until it is back.
#[test]
fn engine_down() {
    let is_down = |at| DOWN.iter().any(|down| down.contains(&at));
    assert_eq!(ARRIVALS.iter().filter(|at| is_down(**at)).count(), 34);
    let played = play(&ARRIVALS, is_down);
    assert!(played.lost <= 10, "{played:?}");
    assert_eq!(played.refused, 0, "{played:?}");
    assert!(played.longest_wait_ms < 2_700, "{played:?}");
}

/// An engine that loses some answers is not left: one in twenty is lost whatever is done.
#[test]
fn some_lost() {
    let arrivals: Vec<u64> = (0..600).map(|number| number * 17).collect();
    let played = play(&arrivals, |at| at % 340 == 0);
    assert_eq!((played.lost, played.refused), (30, 0));
    assert_eq!(played.longest_wait_ms, 0);
}

/// A bad end alone says little; the second one opens the breaker, and a good trial closes it.
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

/// A host that took the trial may be gone: another one may try later.
#[test]
fn trial_unheard() {
    let upstream: Incarnation = "i-1".into();
    let mut pacer = Pacer::default();
    pacer.reserve(Tick(0), &prompt());
    pacer.record_outcome(Tick(10), &upstream, false);
    pacer.record_outcome(Tick(10), &upstream, false);
    assert!(matches!(pacer.reserve(Tick(210), &prompt()), SlotReply::Granted(_)));
    assert!(matches!(pacer.reserve(Tick(800), &prompt()), SlotReply::Busy { .. }));
    assert!(matches!(pacer.reserve(Tick(810), &prompt()), SlotReply::Granted(_)));
}

/// What is told of an engine that was never asked for, or has gone, leaves nothing behind.
#[test]
fn unknown_engine() {
    let mut pacer = Pacer::default();
    assert_eq!(pacer.record_outcome(Tick(0), &"i-9".into(), false), None);
    assert_eq!(pacer.record_outcome(Tick(0), &"i-9".into(), false), None);
}
