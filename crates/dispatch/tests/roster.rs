//! Incarnations of upstreams by their announcements.
//!
//! Guards against taking a restarted engine for its previous incarnation: its report counts fewer
//! orders than were known, so every report would be dropped as stale, and requests would be sent
//! for models that it no longer holds.

use std::net::SocketAddr;
use vanetally_dispatch::{Roster, RosterUpdate};
use vanetally_ports::{Announcement, AnnouncementError, Revision, UpstreamState};
use vanetally_types::{Incarnation, Name, Tick};

fn id() -> Name {
    "i-1".into()
}

fn incarnation(born: u64) -> Incarnation {
    Incarnation::new("i-1", Some(born))
}

fn state() -> UpstreamState {
    UpstreamState {
        service: "llm".into(),
        address: SocketAddr::from(([127, 0, 0, 1], 9_000)),
        domain: "z1".into(),
        slots: 8,
        draining: false,
        remaining_ms: None,
        cold_ms: 0,
        orders_taken: 3,
        models: Vec::new(),
        at_hand: Vec::new(),
        software_version: "v1".into(),
    }
}

fn announcement(born: impl Into<Option<u64>>) -> Result<Announcement, AnnouncementError> {
    Ok(Announcement { incarnation: Incarnation::new("i-1", born.into()), state: state() })
}

fn unreadable_announcement() -> Result<Announcement, AnnouncementError> {
    Err(AnnouncementError::State("resting".into()))
}

/// A roster with the incarnation that began at 1,000, at revision 10.
fn roster() -> Roster {
    let mut roster = Roster::default();
    let updates = roster.record(Tick(0), &id(), Revision::without_era(10), announcement(1_000));
    assert_eq!(
        updates,
        [RosterUpdate::Seen { incarnation: incarnation(1_000), state: state(), is_new: true }]
    );
    roster
}

#[test]
fn same_incarnation() {
    let updates =
        roster().record(Tick(1_000), &id(), Revision::without_era(11), announcement(1_000));
    assert_eq!(
        updates,
        [RosterUpdate::Seen { incarnation: incarnation(1_000), state: state(), is_new: false }]
    );
}

#[test]
fn other_incarnation() {
    let updates =
        roster().record(Tick(1_000), &id(), Revision::without_era(11), announcement(9_000));
    let ended = RosterUpdate::Ended { incarnation: incarnation(1_000), next: incarnation(9_000) };
    assert_eq!(
        updates,
        [
            ended,
            RosterUpdate::Seen { incarnation: incarnation(9_000), state: state(), is_new: true }
        ]
    );
}

/// The upstream's clock may have been set back between two incarnations: the one announced later is
/// the newer one.
#[test]
fn clock_set_back() {
    let updates = roster().record(Tick(1_000), &id(), Revision::without_era(11), announcement(400));
    assert!(
        updates.contains(&RosterUpdate::Ended {
            incarnation: incarnation(1_000),
            next: incarnation(400)
        }),
        "{updates:?}"
    );
}

/// A delayed heartbeat of the ended incarnation does not restore it.
#[test]
fn late_heartbeat() {
    let mut roster = roster();
    roster.record(Tick(1_000), &id(), Revision::without_era(11), announcement(9_000));
    assert_eq!(
        roster.record(Tick(1_400), &id(), Revision::without_era(12), announcement(1_000)),
        []
    );
    let updates = roster.record(Tick(2_000), &id(), Revision::without_era(13), announcement(9_000));
    assert_eq!(
        updates,
        [RosterUpdate::Seen { incarnation: incarnation(9_000), state: state(), is_new: false }]
    );
}

/// A host that reads the delayed heartbeat first takes the live incarnation for ended; later
/// heartbeats restore it.
#[test]
fn late_heartbeat_seen_first() {
    let mut roster = Roster::default();
    roster.record(Tick(0), &id(), Revision::without_era(10), announcement(9_000));
    roster.record(Tick(100), &id(), Revision::without_era(11), announcement(1_000));
    assert_eq!(
        roster.record(Tick(1_200), &id(), Revision::without_era(12), announcement(9_000)),
        []
    );
    let updates = roster.record(Tick(3_200), &id(), Revision::without_era(13), announcement(9_000));
    assert!(
        updates.contains(&RosterUpdate::Ended {
            incarnation: incarnation(1_000),
            next: incarnation(9_000)
        }),
        "{updates:?}"
    );
}

#[test]
fn old_revision_is_ignored() {
    let mut roster = roster();
    roster.record(Tick(1_000), &id(), Revision::without_era(20), announcement(9_000));
    assert_eq!(
        roster.record(Tick(5_000), &id(), Revision::without_era(11), announcement(1_000)),
        []
    );
}

/// An unreadable announcement neither ends the incarnation nor begins another one, and is reported
/// once.
#[test]
fn becomes_unreadable() {
    let mut roster = roster();
    let updates =
        roster.record(Tick(100), &id(), Revision::without_era(11), unreadable_announcement());
    let error = AnnouncementError::State("resting".into());
    assert_eq!(
        updates,
        [RosterUpdate::Unreadable { incarnation: Some(incarnation(1_000)), error }]
    );
    assert_eq!(
        roster.record(Tick(200), &id(), Revision::without_era(12), unreadable_announcement()),
        []
    );
    assert!(roster.contains(&id()));
    let updates = roster.record(Tick(300), &id(), Revision::without_era(13), announcement(1_000));
    assert_eq!(
        updates,
        [RosterUpdate::Seen { incarnation: incarnation(1_000), state: state(), is_new: false }]
    );
}

#[test]
fn unreadable_at_first() {
    let mut roster = Roster::default();
    let error = AnnouncementError::State("resting".into());
    let updates =
        roster.record(Tick(0), &id(), Revision::without_era(1), unreadable_announcement());
    assert_eq!(updates, [RosterUpdate::Unreadable { incarnation: None, error }]);
    assert_eq!(
        roster.record(Tick(0), &id(), Revision::without_era(2), unreadable_announcement()),
        []
    );
    assert!(!roster.contains(&id()));
    let updates = roster.record(Tick(9), &id(), Revision::without_era(3), announcement(1_000));
    assert_eq!(
        updates,
        [RosterUpdate::Seen { incarnation: incarnation(1_000), state: state(), is_new: true }]
    );
}

/// An announcement without a start time after one with it comes from another writer.
#[test]
fn start_time_missing() {
    let updates = roster().record(Tick(100), &id(), Revision::without_era(11), announcement(None));
    let error = AnnouncementError::StartMissing;
    assert_eq!(
        updates,
        [RosterUpdate::Unreadable { incarnation: Some(incarnation(1_000)), error }]
    );
}

#[test]
fn announcement_gone() {
    let mut roster = roster();
    assert_eq!(roster.remove(Tick(0), &id()), Some(incarnation(1_000)));
    assert_eq!(roster.remove(Tick(0), &id()), None);
}
