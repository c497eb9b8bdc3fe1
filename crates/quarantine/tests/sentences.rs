//! Which contents are kept back, and for how long.

use proptest::prelude::*;
use vanetally_quarantine::{Held, Judge, Sentence};
use vanetally_types::{Incarnation, Tick};

const START: Tick = Tick(1_000_000);

fn runner(number: u32) -> Incarnation {
    format!("i-{number}").as_str().into()
}

/// Played: 3 in 100 requests of one kind bore the same content and ended each runner that began them, 24 in 20 s.
/// Here the same arrives at the judge: after the second runner the content is kept back.
#[test]
fn deadly_content() {
    let mut judge = Judge::default();
    assert_eq!(judge.ended(START, 7, runner(1)), None, "one end may be chance");
    let sentence = judge.ended(START + 400, 7, runner(2)).expect("two are not");
    assert_eq!((sentence.content, sentence.ended), (7, 2));
    let mut held = Held::default();
    assert!(held.hold(START + 400, sentence));
    assert!(held.rest_ms(START + 30_000, 7).is_some());
    assert_eq!(held.rest_ms(START + 30_000, 8), None, "no other content");
    assert_eq!(held.rest_ms(START + 400 + sentence.for_ms, 7), None, "tried again then");
}

#[test]
fn sentences_grow() {
    let mut judge = Judge::default();
    let sentences: Vec<Sentence> =
        (0..5).filter_map(|number| judge.ended(START, 7, runner(number))).collect();
    let lengths: Vec<u64> = sentences.iter().map(|one| one.for_ms).collect();
    assert!(lengths.windows(2).all(|pair| pair[1] == 2 * pair[0]), "{lengths:?}");
}

#[test]
fn same_runner_counts_once() {
    let mut judge = Judge::default();
    assert_eq!(judge.ended(START, 7, runner(1)), None);
    assert_eq!(judge.ended(START + 10, 7, runner(1)), None, "two requests at one runner");
}

#[test]
fn answered_content_is_innocent() {
    let mut judge = Judge::default();
    judge.ended(START, 7, runner(1));
    assert_eq!(judge.acquit(7), None);
    assert_eq!(judge.ended(START + 10, 7, runner(2)), None);
    let mut held = Held::default();
    held.answered(7);
    let sentence = Sentence { content: 7, for_ms: 60_000, ended: 2 };
    assert!(!held.hold(START, sentence), "it was answered here");
    assert!(held.hold(START, Sentence { ended: 4, ..sentence }), "but it goes on ending upstreams");
}

/// A content that comes again and again is under way at runners that crash hours apart.
#[test]
fn rare_crashes() {
    let mut judge = Judge::default();
    for hour in 0..48 {
        assert_eq!(judge.ended(START + hour * 3_600_000, 7, runner(hour as u32)), None);
    }
}

#[test]
fn freed_by_an_answer() {
    let mut judge = Judge::default();
    let mut held = Held::default();
    judge.ended(START, 7, runner(1));
    held.hold(START, judge.ended(START, 7, runner(2)).expect("a sentence"));
    let freed = judge.acquit(7).expect("it was sentenced");
    assert!(held.hold(START + 10, freed));
    assert_eq!(held.rest_ms(START + 10, 7), None);
    assert_eq!(judge.ended(START + 20, 7, runner(3)), None, "the evidence is gone");
}

#[test]
fn host_that_starts() {
    let mut held = Held::default();
    held.hold(START, Sentence { content: 7, for_ms: 60_000, ended: 2 });
    let told = held.sentences(START + 10_000);
    let mut other = Held::default();
    told.into_iter().for_each(|one| assert!(other.hold(START, one)));
    assert_eq!(other.rest_ms(START, 7), Some(50_000));
}

#[test]
fn hostile_variety() {
    let mut judge = Judge::default();
    judge.ended(START, 7, runner(1));
    judge.ended(START, 7, runner(2));
    for content in 1_000..60_000 {
        judge.ended(START + content, content, runner(3));
    }
    assert!(judge.len() <= 8_192, "{}", judge.len());
    assert!(judge.ended(START + 60_001, 7, runner(4)).is_some(), "what ended two stays known");
}

proptest! {
    /// Runners crash by themselves, any number of them, each under requests that come once: nobody is suspected.
    #[test]
    fn plain_crashes(crashes in proptest::collection::vec(1_usize..24, 1..60)) {
        let mut judge = Judge::default();
        let mut content = 0;
        for (number, requests) in crashes.into_iter().enumerate() {
            for _ in 0..requests {
                content += 1;
                let at = START + number as u64 * 50;
                prop_assert_eq!(judge.ended(at, content, runner(number as u32)), None);
            }
        }
    }
}
