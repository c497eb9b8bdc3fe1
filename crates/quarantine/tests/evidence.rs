//! Which contents are kept back, and for how long.

use proptest::prelude::*;
use vanetally_quarantine::{BlockedContents, CrashEvidence, CrashReport, CrashSign, Quarantine};
use vanetally_types::{Incarnation, Tick};

const START: Tick = Tick(1_000_000);

fn runner(number: u32) -> Incarnation {
    format!("i-{number}").as_str().into()
}

/// `runner` has ended under a request of `content`.
fn ended(content: u64, runner: Incarnation) -> CrashReport {
    CrashReport { content, upstream: runner, sign: CrashSign::Ended, is_common: false }
}

/// A quarantine as hosts of earlier builds and the store tell it.
fn told(content: u64, ended: u32) -> Quarantine {
    Quarantine { content, for_ms: 60_000, ended, age_ms: None }
}

fn silent(content: u64, runner: Incarnation) -> CrashReport {
    CrashReport { sign: CrashSign::Silent, ..ended(content, runner) }
}

/// Played: 3 in 100 requests of one kind bore the same content and ended each runner that began them, 24 in 20 s.
/// Here the same arrives at one that keeps the evidence: after the second runner the content is kept back.
#[test]
fn deadly_content() {
    let mut evidence = CrashEvidence::default();
    assert_eq!(evidence.add(START, ended(7, runner(1))), None, "one end may be chance");
    let quarantine = evidence.add(START + 400, ended(7, runner(2))).expect("two are not");
    assert_eq!((quarantine.content, quarantine.ended), (7, 2));
    let mut held = BlockedContents::default();
    assert!(held.apply(START + 400, quarantine));
    assert!(held.remaining_ms(START + 30_000, 7).is_some());
    assert_eq!(held.remaining_ms(START + 30_000, 8), None, "no other content");
    assert_eq!(held.remaining_ms(START + 400 + quarantine.for_ms, 7), None, "tried again then");
}

#[test]
fn quarantines_grow() {
    let mut evidence = CrashEvidence::default();
    let quarantines: Vec<Quarantine> =
        (0..5).filter_map(|number| evidence.add(START, ended(7, runner(number)))).collect();
    let lengths: Vec<u64> = quarantines.iter().map(|one| one.for_ms).collect();
    assert!(lengths.windows(2).all(|pair| pair[1] == 2 * pair[0]), "{lengths:?}");
}

#[test]
fn same_runner_counts_once() {
    let mut evidence = CrashEvidence::default();
    assert_eq!(evidence.add(START, ended(7, runner(1))), None);
    assert_eq!(evidence.add(START + 10, ended(7, runner(1))), None, "two requests at one runner");
}

#[test]
fn answered_content_is_innocent() {
    let mut evidence = CrashEvidence::default();
    evidence.add(START, ended(7, runner(1)));
    assert!(!evidence.clear(7), "it was not quarantined");
    assert_eq!(evidence.add(START + 10, ended(7, runner(2))), None);
    let mut held = BlockedContents::default();
    held.record_answer(START, 7);
    let quarantine = told(7, 2);
    assert!(!held.apply(START, quarantine), "it was answered here");
    assert!(held.apply(START, told(7, 4)), "but it goes on ending upstreams");
}

/// A content that comes again and again is under way at runners that crash hours apart.
#[test]
fn rare_crashes() {
    let mut evidence = CrashEvidence::default();
    for hour in 0..48 {
        assert_eq!(evidence.add(START + hour * 3_600_000, ended(7, runner(hour as u32))), None);
    }
}

#[test]
fn freed_by_an_answer() {
    let mut evidence = CrashEvidence::default();
    let mut held = BlockedContents::default();
    evidence.add(START, ended(7, runner(1)));
    held.apply(START, evidence.add(START, ended(7, runner(2))).expect("a quarantine"));
    assert!(evidence.clear(7), "it was quarantined");
    assert!(held.apply(START + 10, Quarantine::release(7)));
    assert_eq!(held.remaining_ms(START + 10, 7), None);
    assert_eq!(evidence.add(START + 20, ended(7, runner(3))), None, "the evidence is gone");
}

#[test]
fn host_that_starts() {
    let mut held = BlockedContents::default();
    held.apply(START, told(7, 2));
    let told = held.quarantines(START + 10_000);
    let mut other = BlockedContents::default();
    told.into_iter().for_each(|one| assert!(other.apply(START, one)));
    assert_eq!(other.remaining_ms(START, 7), Some(50_000));
}

#[test]
fn hostile_variety() {
    let mut evidence = CrashEvidence::default();
    evidence.add(START, ended(7, runner(1)));
    evidence.add(START, ended(7, runner(2)));
    for content in 1_000..60_000 {
        evidence.add(START + content, ended(content, runner(3)));
    }
    assert!(evidence.len() <= 8_192, "{}", evidence.len());
    assert!(
        evidence.add(START + 60_001, ended(7, runner(4))).is_some(),
        "what ended two stays known"
    );
}

/// Where a front takes connections for runners that have gone, no look shows an end for certain: the third that is
/// silent is enough, and so is one beside one that has ended.
#[test]
fn silent_runners() {
    let mut evidence = CrashEvidence::default();
    assert_eq!(evidence.add(START, silent(7, runner(1))), None);
    assert_eq!(evidence.add(START, silent(7, runner(2))), None, "a cut way looks the same");
    assert!(evidence.add(START, silent(7, runner(3))).is_some());
    let mut evidence = CrashEvidence::default();
    evidence.add(START, silent(7, runner(1)));
    assert!(evidence.add(START, ended(7, runner(2))).is_some());
}

/// What is silent first and found to have ended later counts once, as the stronger of both.
#[test]
fn stronger_sign() {
    let mut evidence = CrashEvidence::default();
    evidence.add(START, silent(7, runner(1)));
    assert_eq!(evidence.add(START, ended(7, runner(1))), None);
    assert!(evidence.add(START, silent(7, runner(2))).is_some());
}

/// A request that many callers send is under way wherever runners crash.
#[test]
fn common_content() {
    let mut evidence = CrashEvidence::default();
    let common = |number| CrashReport { is_common: true, ..ended(7, runner(number)) };
    for number in 0..3 {
        assert_eq!(evidence.add(START, common(number)), None);
    }
    assert!(evidence.add(START, common(3)).is_some(), "the fourth is no chance");
}

/// An answer speaks for a content if it came after the first end under it; what was answered before may have changed
/// what it does.
#[test]
fn earlier_answer() {
    let mut held = BlockedContents::default();
    held.record_answer(START, 7);
    let aged = |age_ms| Quarantine { age_ms: Some(age_ms), ..told(7, 2) };
    assert!(!held.apply(START + 1_000, aged(2_000)), "answered after the first end");
    assert!(held.apply(START + 1_000, aged(500)), "answered before it");
}

#[test]
fn doubted_content() {
    let mut held = BlockedContents::default();
    held.suspend(START, 7, 600);
    assert!(held.is_suspended(START + 599, 7) && !held.is_suspended(START, 8));
    assert!(!held.is_suspended(START + 600, 7));
    held.suspend(START, 7, 600);
    held.resume(7);
    assert!(!held.is_suspended(START, 7));
}

proptest! {
    /// Signs of all kinds at any runners in any order: no more than three runners end under a content that ends each,
    /// and none is kept back under which fewer than two runners showed any.
    #[test]
    fn signs_in_any_order(signs in proptest::collection::vec((0_u32..6, any::<bool>()), 1..40)) {
        let mut evidence = CrashEvidence::default();
        let mut seen = std::collections::BTreeSet::new();
        for (number, is_silent) in signs {
            let suspicion =
                if is_silent { silent(7, runner(number)) } else { ended(7, runner(number)) };
            seen.insert(number);
            let quarantine = evidence.add(START, suspicion);
            if quarantine.is_some() {
                prop_assert!(seen.len() >= 2);
                return Ok(());
            }
            prop_assert!(seen.len() < 3, "{seen:?}");
        }
    }

    /// Runners crash by themselves, any number of them, each under requests that come once: nobody is suspected.
    #[test]
    fn plain_crashes(crashes in proptest::collection::vec(1_usize..24, 1..60)) {
        let mut evidence = CrashEvidence::default();
        let mut content = 0;
        for (number, requests) in crashes.into_iter().enumerate() {
            for _ in 0..requests {
                content += 1;
                let at = START + number as u64 * 50;
                prop_assert_eq!(evidence.add(at, ended(content, runner(number as u32))), None);
            }
        }
    }
}
