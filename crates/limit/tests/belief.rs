//! What a host believes of an upstream's limit.

use vanetally_limit::{Belief, News, Statement};
use vanetally_types::Tick;

const START: Tick = Tick(1_000_000);

#[test]
fn named_and_ended() {
    let mut belief = Belief::default();
    assert_eq!(belief.answered(START, START, None), None, "never in need");
    assert_eq!(belief.to_tell(START), None);
    assert_eq!(belief.answered(START + 10, START, Some(1.8)), Some(News::Named(1.8)));
    assert_eq!(belief.answered(START + 20, START, Some(1.8)), None, "nothing new");
    assert_eq!(belief.answered(START + 30, START, Some(0.5)), Some(News::Named(0.5)));
    assert_eq!(belief.rate(), Some(0.5));
    assert_eq!(belief.answered(START + 90, START + 60, None), Some(News::Ended));
    assert_eq!(belief.rate(), None);
    let ended = START + 90;
    belief.answered(ended + 9_000, ended + 8_900, None);
    assert_eq!(belief.to_tell(ended + 9_900).map(|told| told.at), Some(ended), "told once");
    assert_eq!(belief.to_tell(ended + 10_100), None, "and not for as long as answers come");
}

/// A host stood still: what it reads then was answered before the limit was named.
#[test]
fn late_answer_ends_nothing() {
    let mut belief = Belief::default();
    belief.told(Statement { rate: Some(2.0), at: START + 1_000 });
    assert_eq!(belief.answered(START + 5_000, START + 900, None), None);
    assert_eq!(belief.rate(), Some(2.0));
    assert_eq!(belief.answered(START + 5_100, START + 5_000, None), Some(News::Ended));
}

/// Hosts tell each other of what they heard in any order: the newest holds.
#[test]
fn newest_holds() {
    let mut belief = Belief::default();
    belief.answered(START + 2_000, START + 1_900, Some(1.0));
    assert_eq!(belief.told(Statement { rate: None, at: START + 1_500 }), None);
    assert_eq!(belief.rate(), Some(1.0));
    assert_eq!(belief.told(Statement { rate: None, at: START + 2_500 }), Some(News::Ended));
    assert_eq!(belief.told(Statement { rate: Some(1.0), at: START + 2_000 }), None);
    assert_eq!(belief.rate(), None);
}

/// What a host was told it does not tell as its own: the age would never grow.
#[test]
fn own_words_told() {
    let mut belief = Belief::default();
    belief.told(Statement { rate: Some(1.0), at: START });
    assert_eq!(belief.to_tell(START), None);
    belief.answered(START + 100, START, Some(1.0));
    assert_eq!(belief.to_tell(START + 200).map(|told| told.at), Some(START + 100));
    assert_eq!(belief.to_tell(START + 60_000), None);
    belief.told(Statement { rate: None, at: START + 150 });
    assert_eq!(belief.to_tell(START + 200), None, "another host has heard otherwise since");
}
