//! Known rate limit of an upstream.

use vanetally_limit::{KnownLimit, LimitChange, LimitStatement};
use vanetally_types::Tick;

const START: Tick = Tick(1_000_000);

#[test]
fn stated_and_ended() {
    let mut known = KnownLimit::default();
    assert_eq!(known.record_answer(START, START, None), None, "no limit to end");
    assert_eq!(known.announcement(START), None);
    assert_eq!(known.record_answer(START + 10, START, Some(1.8)), Some(LimitChange::Stated(1.8)));
    assert_eq!(known.record_answer(START + 20, START, Some(1.8)), None, "nothing new");
    assert_eq!(known.record_answer(START + 30, START, Some(0.5)), Some(LimitChange::Stated(0.5)));
    assert_eq!(known.rate(), Some(0.5));
    assert_eq!(known.record_answer(START + 90, START + 60, None), Some(LimitChange::Ended));
    assert_eq!(known.rate(), None);
    let ended = START + 90;
    known.record_answer(ended + 9_000, ended + 8_900, None);
    assert_eq!(
        known.announcement(ended + 9_900).map(|statement| statement.at),
        Some(ended),
        "repeated statements keep the first time"
    );
    assert_eq!(known.announcement(ended + 10_100), None, "not announced for longer");
}

/// A stalled host reads an answer late that was given before the limit was stated.
#[test]
fn stale_answer_does_not_end_limit() {
    let mut known = KnownLimit::default();
    known.record_report(LimitStatement { rate: Some(2.0), at: START + 1_000 });
    assert_eq!(known.record_answer(START + 5_000, START + 900, None), None);
    assert_eq!(known.rate(), Some(2.0));
    assert_eq!(known.record_answer(START + 5_100, START + 5_000, None), Some(LimitChange::Ended));
}

/// Statements of other hosts arrive in any order; the newest one holds.
#[test]
fn newest_statement_wins() {
    let mut known = KnownLimit::default();
    known.record_answer(START + 2_000, START + 1_900, Some(1.0));
    assert_eq!(known.record_report(LimitStatement { rate: None, at: START + 1_500 }), None);
    assert_eq!(known.rate(), Some(1.0));
    assert_eq!(
        known.record_report(LimitStatement { rate: None, at: START + 2_500 }),
        Some(LimitChange::Ended)
    );
    assert_eq!(known.record_report(LimitStatement { rate: Some(1.0), at: START + 2_000 }), None);
    assert_eq!(known.rate(), None);
}

/// A host announces only statements that it received itself; with relayed ones the age would never
/// grow.
#[test]
fn only_own_statements_announced() {
    let mut known = KnownLimit::default();
    known.record_report(LimitStatement { rate: Some(1.0), at: START });
    assert_eq!(known.announcement(START), None);
    known.record_answer(START + 100, START, Some(1.0));
    assert_eq!(known.announcement(START + 200).map(|statement| statement.at), Some(START + 100));
    assert_eq!(known.announcement(START + 60_000), None);
    known.record_report(LimitStatement { rate: None, at: START + 150 });
    assert_eq!(known.announcement(START + 200), None, "another host received a newer statement");
}
