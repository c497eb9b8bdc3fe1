//! Slots of a plain upstream are not granted twice and not lost, and the search finds a violation when a
//! guard is off.

use rstest::rstest;
use vanetally_check::{
    Outcome, search,
    slots::{Options, Slots},
};
use vanetally_slots::Guards;

const SOUND: Options = Options {
    guards: Guards::ON,
    releases_late_grants: true,
    requests: 2,
    losses: 0,
    duplicates: 0,
    withdrawals: 0,
    ends: 0,
    silent_ends: 0,
    takeovers: 0,
    ticks: 0,
};
const DOUBLED: Options = Options { requests: 1, duplicates: 2, withdrawals: 1, ..SOUND };
const CROWDED: Options = Options { withdrawals: 1, ..SOUND };
const LOST: Options = Options { requests: 1, losses: 1, withdrawals: 1, ticks: 4, ..SOUND };
const TAKEOVER: Options = Options { takeovers: 1, ..SOUND };
const ENDS: Options = Options { requests: 1, ends: 1, withdrawals: 1, ticks: 1, ..SOUND };
const SILENT_ENDS: Options = Options { requests: 1, silent_ends: 1, ticks: 4, ..SOUND };

fn run(name: &str, options: Options) -> Outcome {
    let outcome = search(Slots::new(options));
    println!("check=slots case={name} {outcome}");
    outcome
}

#[rstest]
#[case::doubled(DOUBLED)]
#[case::crowded(CROWDED)]
#[case::lost(LOST)]
#[case::takeover(TAKEOVER)]
#[case::ends(ENDS)]
#[case::silent_ends(SILENT_ENDS)]
fn slots_are_granted_once(#[case] options: Options) {
    let outcome = run("sound", options);
    assert!(outcome.complete && outcome.trace.is_none(), "{outcome}");
}

#[rstest]
#[case::same_grant(Guards { same_grant: false, ..Guards::ON }, DOUBLED)]
#[case::known_release(Guards { known_release: false, ..Guards::ON }, CROWDED)]
#[case::ended_numbers(Guards { ended_numbers: false, ..Guards::ON }, DOUBLED)]
#[case::expiry(Guards { expiry: false, ..Guards::ON }, SILENT_ENDS)]
#[case::reminders(Guards { reminders: false, ..Guards::ON }, LOST)]
#[case::gone_hosts(Guards { gone_hosts: false, ..Guards::ON }, ENDS)]
#[case::inherited(Guards { inherited: false, ..Guards::ON }, TAKEOVER)]
fn missing_guard_is_found(#[case] guards: Guards, #[case] options: Options) {
    let outcome = run("guard-off", Options { guards, ..options });
    assert!(outcome.trace.is_some(), "{outcome}");
}

/// A host that keeps grants which arrive after their requests have ended.
#[test]
fn kept_late_grant_is_found() {
    let outcome = run("guard-off", Options { releases_late_grants: false, ..LOST });
    assert!(outcome.trace.is_some(), "{outcome}");
}
