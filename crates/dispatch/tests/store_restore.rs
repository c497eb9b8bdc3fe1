//! Announcements from a store that was restored from a backup, compared with the known state.

use rstest::rstest;
use std::net::SocketAddr;
use vanetally_dispatch::{Roster, RosterUpdate};
use vanetally_ports::{Announcement, Era, Revision, UpstreamState};
use vanetally_types::{Incarnation, Name, Tick};

const NOW: Tick = Tick(1_000_000);
/// Time of the next heartbeats.
const LATER: Tick = Tick(1_010_000);

fn id() -> Name {
    "i-1".into()
}

fn incarnation(born: Option<u64>) -> Incarnation {
    Incarnation::new("i-1", born)
}

fn revision(era: u64, number: u64) -> Revision {
    Revision::new(Era(era), number)
}

fn state(draining: bool) -> UpstreamState {
    UpstreamState {
        service: "llm".into(),
        address: SocketAddr::from(([127, 0, 0, 1], 9_000)),
        domain: "z1".into(),
        slots: 8,
        draining,
        remaining_ms: None,
        cold_ms: 0,
        orders_taken: 3,
        models: Vec::new(),
        at_hand: Vec::new(),
        software_version: "v1".into(),
    }
}

/// Records an announcement; returns the start times of the incarnations considered alive, and
/// whether they are leaving.
fn record(
    roster: &mut Roster,
    now: Tick,
    revision: Revision,
    born: Option<u64>,
    draining: bool,
) -> Vec<(Option<u64>, bool)> {
    let read = Ok(Announcement { incarnation: incarnation(born), state: state(draining) });
    let updates = roster.record(now, &id(), revision, read);
    let seen = updates.into_iter().filter_map(|update| match update {
        RosterUpdate::Seen { incarnation, state, .. } => Some((incarnation.born, state.draining)),
        _ => None,
    });
    seen.collect()
}

/// The backup lists a runner as ready that has announced since that it leaves; it gets no requests,
/// whatever the revision in the backup.
#[rstest]
fn leaving_state_survives_restore(
    #[values(Some(7), None)] born: Option<u64>,
    #[values(4, 90)] number: u64,
) {
    let mut roster = Roster::default();
    record(&mut roster, NOW, revision(1, 10), born, false);
    record(&mut roster, NOW, revision(1, 20), born, true);
    assert_eq!(record(&mut roster, NOW, revision(2, number), born, false), [(born, true)]);
    assert_eq!(record(&mut roster, LATER, revision(2, 95), born, false), [(born, true)]);
    assert_eq!(record(&mut roster, LATER, revision(3, 2), born, false), [(born, true)]);
}

/// Within one era, the last announcement counts.
#[test]
fn leaving_state_is_withdrawn() {
    let mut roster = Roster::default();
    record(&mut roster, NOW, revision(1, 20), None, true);
    assert_eq!(record(&mut roster, NOW, revision(1, 21), None, false), [(None, false)]);
    record(&mut roster, NOW, revision(1, 22), None, true);
    record(&mut roster, NOW, revision(2, 5), None, true);
    assert_eq!(record(&mut roster, NOW, revision(2, 6), None, false), [(None, false)]);
}

/// An upstream that left and ended is still in the backup; only a newer announcement of its own
/// restores it.
#[test]
fn ended_upstream_stays_ended() {
    let mut roster = Roster::default();
    record(&mut roster, NOW, revision(1, 10), None, true);
    roster.remove(NOW, &id());
    assert_eq!(record(&mut roster, NOW, revision(2, 10), None, false), [], "the last announcement");
    assert_eq!(
        record(&mut roster, NOW, revision(2, 4), None, false),
        [],
        "an earlier announcement"
    );
    assert!(!roster.contains(&id()));
    assert_eq!(
        record(&mut roster, NOW, revision(2, 11), None, false),
        [(None, true)],
        "still leaving"
    );
}

#[test]
fn ended_upstream_returns_in_same_era() {
    let mut roster = Roster::default();
    record(&mut roster, NOW, revision(1, 10), None, false);
    roster.remove(NOW, &id());
    assert_eq!(record(&mut roster, NOW, revision(1, 12), None, false), [(None, false)]);
}

/// A backup is at most one minute old.
#[test]
fn ended_upstream_is_forgotten() {
    let mut roster = Roster::default();
    record(&mut roster, NOW, revision(1, 10), None, false);
    roster.remove(NOW, &id());
    assert_eq!(record(&mut roster, NOW + 60_000, revision(2, 10), None, false), [(None, false)]);
}

/// Guards against taking a restarted runner for its previous incarnation, which the backup announces,
/// and then for an ended one although it continues to announce itself.
#[rstest]
#[case::replaced(false)]
#[case::gone_between(true)]
fn newer_incarnation_is_kept(#[case] is_gone_between: bool) {
    let mut roster = Roster::default();
    record(&mut roster, NOW, revision(1, 30), Some(1), false);
    if is_gone_between {
        roster.remove(NOW, &id());
    }
    record(&mut roster, NOW, revision(1, 42), Some(2), false);
    assert_eq!(record(&mut roster, NOW, revision(2, 35), Some(1), false), [], "from the backup");
    assert_eq!(record(&mut roster, NOW, revision(3, 66), Some(2), false), [(Some(2), false)]);
}

/// A late announcement from the previous era changes nothing.
#[test]
fn late_announcement_of_previous_era() {
    let mut roster = Roster::default();
    record(&mut roster, NOW, revision(2, 5), Some(1), false);
    assert_eq!(record(&mut roster, NOW, revision(1, 90), Some(2), false), []);
    assert_eq!(record(&mut roster, NOW, revision(1, 91), Some(1), true), []);
    assert_eq!(record(&mut roster, NOW, revision(2, 6), Some(1), false), [(Some(1), false)]);
}
