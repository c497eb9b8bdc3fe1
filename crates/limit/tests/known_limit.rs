//! What a host believes of an upstream's limit.

use vanetally_limit::{KnownLimit, LimitChange, LimitStatement};
use vanetally_types::Tick;

const START: Tick = Tick(1_000_000);

#[test]
fn named_and_ended() {
    let mut belief = KnownLimit::default();
    assert_eq!(belief.record_answer(START, START, None), None, "never in need");
    assert_eq!(belief.announcement(START), None);
    assert_eq!(belief.record_answer(START + 10, START, Some(1.8)), Some(LimitChange::Stated(1.8)));
    assert_eq!(belief.record_answer(START + 20, START, Some(1.8)), None, "nothing new");
    assert_eq!(belief.record_answer(START + 30, START, Some(0.5)), Some(LimitChange::Stated(0.5)));
    assert_eq!(belief.rate(), Some(0.5));
    assert_eq!(belief.record_answer(START + 90, START + 60, None), Some(LimitChange::Ended));
    assert_eq!(belief.rate(), None);
    let ended = START + 90;
    belief.record_answer(ended + 9_000, ended + 8_900, None);
    assert_eq!(belief.announcement(ended + 9_900).map(|told| told.at), Some(ended), "told once");
    assert_eq!(belief.announcement(ended + 10_100), None, "and not for as long as answers come");
}

/// A host stood still: what it reads then was answered before the limit was named.
#[test]
fn late_answer_ends_nothing() {
    let mut belief = KnownLimit::default();
    belief.record_report(LimitStatement { rate: Some(2.0), at: START + 1_000 });
    assert_eq!(belief.record_answer(START + 5_000, START + 900, None), None);
    assert_eq!(belief.rate(), Some(2.0));
    assert_eq!(belief.record_answer(START + 5_100, START + 5_000, None), Some(LimitChange::Ended));
}

/// Hosts tell each other of what they heard in any order: the newest holds.
#[test]
fn newest_holds() {
    let mut belief = KnownLimit::default();
    belief.record_answer(START + 2_000, START + 1_900, Some(1.0));
    assert_eq!(belief.record_report(LimitStatement { rate: None, at: START + 1_500 }), None);
    assert_eq!(belief.rate(), Some(1.0));
    assert_eq!(
        belief.record_report(LimitStatement { rate: None, at: START + 2_500 }),
        Some(LimitChange::Ended)
    );
    assert_eq!(belief.record_report(LimitStatement { rate: Some(1.0), at: START + 2_000 }), None);
    assert_eq!(belief.rate(), None);
}

/// What a host was told it does not tell as its own: the age would never grow.
#[test]
fn own_words_told() {
    let mut belief = KnownLimit::default();
    belief.record_report(LimitStatement { rate: Some(1.0), at: START });
    assert_eq!(belief.announcement(START), None);
    belief.record_answer(START + 100, START, Some(1.0));
    assert_eq!(belief.announcement(START + 200).map(|told| told.at), Some(START + 100));
    assert_eq!(belief.announcement(START + 60_000), None);
    belief.record_report(LimitStatement { rate: None, at: START + 150 });
    assert_eq!(belief.announcement(START + 200), None, "another host has heard otherwise since");
}
