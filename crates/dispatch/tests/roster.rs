//! An engine that started again under its id was taken for the one before it: its report counts fewer orders than
//! were known of it, so every report was dropped as stale for as long as the holder of orders lived. It was believed to
//! hold what it had held, and 991 requests came to engines that had nothing any more.

use std::net::SocketAddr;
use vanetally_dispatch::{Roster, RosterUpdate};
use vanetally_ports::{Announcement, AnnouncementError, Revision, UpstreamState};
use vanetally_types::{Incarnation, Name, Tick};

fn id() -> Name {
    "i-1".into()
}

fn life(born: u64) -> Incarnation {
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
        orders_taken: 3,
        models: Vec::new(),
        at_hand: Vec::new(),
    }
}

fn told(born: impl Into<Option<u64>>) -> Result<Announcement, AnnouncementError> {
    Ok(Announcement { incarnation: Incarnation::new("i-1", born.into()), state: state() })
}

fn spoiled() -> Result<Announcement, AnnouncementError> {
    Err(AnnouncementError::State("resting".into()))
}

/// A roster that knows the life that began at 1,000, by revision 10.
fn roster() -> Roster {
    let mut roster = Roster::default();
    let news = roster.record(Tick(0), &id(), Revision::without_era(10), told(1_000));
    assert_eq!(
        news,
        [RosterUpdate::Seen { incarnation: life(1_000), state: state(), is_new: true }]
    );
    roster
}

#[test]
fn same_life() {
    let news = roster().record(Tick(1_000), &id(), Revision::without_era(11), told(1_000));
    assert_eq!(
        news,
        [RosterUpdate::Seen { incarnation: life(1_000), state: state(), is_new: false }]
    );
}

#[test]
fn other_life() {
    let news = roster().record(Tick(1_000), &id(), Revision::without_era(11), told(9_000));
    let ended = RosterUpdate::Ended { incarnation: life(1_000), next: life(9_000) };
    assert_eq!(
        news,
        [ended, RosterUpdate::Seen { incarnation: life(9_000), state: state(), is_new: true }]
    );
}

/// The clock of an upstream may have been set back between two lives: the later one is what was told later.
#[test]
fn clock_set_back() {
    let news = roster().record(Tick(1_000), &id(), Revision::without_era(11), told(400));
    assert!(
        news.contains(&RosterUpdate::Ended { incarnation: life(1_000), next: life(400) }),
        "{news:?}"
    );
}

/// A heartbeat of the life that has ended, on its way for long, does not bring it back.
#[test]
fn late_heartbeat() {
    let mut roster = roster();
    roster.record(Tick(1_000), &id(), Revision::without_era(11), told(9_000));
    assert_eq!(roster.record(Tick(1_400), &id(), Revision::without_era(12), told(1_000)), []);
    let news = roster.record(Tick(2_000), &id(), Revision::without_era(13), told(9_000));
    assert_eq!(
        news,
        [RosterUpdate::Seen { incarnation: life(9_000), state: state(), is_new: false }]
    );
}

/// A host that heard of the late heartbeat first takes the living one for ended; its heartbeats go on and win.
#[test]
fn mistaken_order() {
    let mut roster = Roster::default();
    roster.record(Tick(0), &id(), Revision::without_era(10), told(9_000));
    roster.record(Tick(100), &id(), Revision::without_era(11), told(1_000));
    assert_eq!(roster.record(Tick(1_200), &id(), Revision::without_era(12), told(9_000)), []);
    let news = roster.record(Tick(3_200), &id(), Revision::without_era(13), told(9_000));
    assert!(
        news.contains(&RosterUpdate::Ended { incarnation: life(1_000), next: life(9_000) }),
        "{news:?}"
    );
}

#[test]
fn old_reading() {
    let mut roster = roster();
    roster.record(Tick(1_000), &id(), Revision::without_era(20), told(9_000));
    assert_eq!(roster.record(Tick(5_000), &id(), Revision::without_era(11), told(1_000)), []);
}

/// What can't be read is neither gone nor another life, and is told once.
#[test]
fn unreadable() {
    let mut roster = roster();
    let news = roster.record(Tick(100), &id(), Revision::without_era(11), spoiled());
    let error = AnnouncementError::State("resting".into());
    assert_eq!(news, [RosterUpdate::Unreadable { incarnation: Some(life(1_000)), error }]);
    assert_eq!(roster.record(Tick(200), &id(), Revision::without_era(12), spoiled()), []);
    assert!(roster.contains(&id()));
    let news = roster.record(Tick(300), &id(), Revision::without_era(13), told(1_000));
    assert_eq!(
        news,
        [RosterUpdate::Seen { incarnation: life(1_000), state: state(), is_new: false }]
    );
}

#[test]
fn unreadable_at_first() {
    let mut roster = Roster::default();
    let error = AnnouncementError::State("resting".into());
    let news = roster.record(Tick(0), &id(), Revision::without_era(1), spoiled());
    assert_eq!(news, [RosterUpdate::Unreadable { incarnation: None, error }]);
    assert_eq!(roster.record(Tick(0), &id(), Revision::without_era(2), spoiled()), []);
    assert!(!roster.contains(&id()));
    let news = roster.record(Tick(9), &id(), Revision::without_era(3), told(1_000));
    assert_eq!(
        news,
        [RosterUpdate::Seen { incarnation: life(1_000), state: state(), is_new: true }]
    );
}

/// An announcement without the start, after one that told it, comes from another writer.
#[test]
fn start_left_out() {
    let news = roster().record(Tick(100), &id(), Revision::without_era(11), told(None));
    let error = AnnouncementError::StartMissing;
    assert_eq!(news, [RosterUpdate::Unreadable { incarnation: Some(life(1_000)), error }]);
}

#[test]
fn gone() {
    let mut roster = roster();
    assert_eq!(roster.remove(Tick(0), &id()), Some(life(1_000)));
    assert_eq!(roster.remove(Tick(0), &id()), None);
}
