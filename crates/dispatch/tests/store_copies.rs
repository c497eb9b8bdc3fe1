//! What a store that came back from a copy tells of upstreams, and what is known of them.

use rstest::rstest;
use std::net::SocketAddr;
use vanetally_dispatch::{Roster, RosterUpdate};
use vanetally_ports::{Announcement, Era, Revision, UpstreamState};
use vanetally_types::{Incarnation, Name, Tick};

const NOW: Tick = Tick(1_000_000);
/// The next heartbeats.
const LATER: Tick = Tick(1_010_000);

fn id() -> Name {
    "i-1".into()
}

fn life(born: Option<u64>) -> Incarnation {
    Incarnation::new("i-1", born)
}

fn at(era: u64, number: u64) -> Revision {
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
        orders_taken: 3,
        models: Vec::new(),
        at_hand: Vec::new(),
    }
}

/// Tells the roster; gives back the lives that it takes for alive, and whether they leave.
fn tell(
    roster: &mut Roster,
    now: Tick,
    revision: Revision,
    born: Option<u64>,
    draining: bool,
) -> Vec<(Option<u64>, bool)> {
    let read = Ok(Announcement { incarnation: life(born), state: state(draining) });
    let news = roster.record(now, &id(), revision, read);
    let seen = news.into_iter().filter_map(|news| match news {
        RosterUpdate::Seen { incarnation: life, state, .. } => Some((life.born, state.draining)),
        _ => None,
    });
    seen.collect()
}

/// The copy has a runner as ready that has said since that it leaves; whatever the copy's revision, nobody sends to it.
#[rstest]
fn leaving_kept(#[values(Some(7), None)] born: Option<u64>, #[values(4, 90)] number: u64) {
    let mut roster = Roster::default();
    tell(&mut roster, NOW, at(1, 10), born, false);
    tell(&mut roster, NOW, at(1, 20), born, true);
    assert_eq!(tell(&mut roster, NOW, at(2, number), born, false), [(born, true)]);
    assert_eq!(tell(&mut roster, LATER, at(2, 95), born, false), [(born, true)]);
    assert_eq!(tell(&mut roster, LATER, at(3, 2), born, false), [(born, true)]);
}

/// In one era its last word holds.
#[test]
fn leaving_taken_back() {
    let mut roster = Roster::default();
    tell(&mut roster, NOW, at(1, 20), None, true);
    assert_eq!(tell(&mut roster, NOW, at(1, 21), None, false), [(None, false)]);
    tell(&mut roster, NOW, at(1, 22), None, true);
    tell(&mut roster, NOW, at(2, 5), None, true);
    assert_eq!(tell(&mut roster, NOW, at(2, 6), None, false), [(None, false)]);
}

/// One that left and went is in the copy still, and comes back only with a word of its own.
#[test]
fn departed_stays_away() {
    let mut roster = Roster::default();
    tell(&mut roster, NOW, at(1, 10), None, true);
    roster.remove(NOW, &id());
    assert_eq!(tell(&mut roster, NOW, at(2, 10), None, false), [], "its last word");
    assert_eq!(tell(&mut roster, NOW, at(2, 4), None, false), [], "an earlier one");
    assert!(!roster.contains(&id()));
    assert_eq!(tell(&mut roster, NOW, at(2, 11), None, false), [(None, true)], "it leaves still");
}

#[test]
fn departed_returns_in_its_era() {
    let mut roster = Roster::default();
    tell(&mut roster, NOW, at(1, 10), None, false);
    roster.remove(NOW, &id());
    assert_eq!(tell(&mut roster, NOW, at(1, 12), None, false), [(None, false)]);
}

/// A copy is not older than a minute.
#[test]
fn departed_forgotten() {
    let mut roster = Roster::default();
    tell(&mut roster, NOW, at(1, 10), None, false);
    roster.remove(NOW, &id());
    assert_eq!(tell(&mut roster, NOW + 60_000, at(2, 10), None, false), [(None, false)]);
}

/// A runner that started again was taken for its earlier life, which the copy told, and then for one that had ended,
/// though it went on announcing itself: it got nothing more.
#[rstest]
#[case::replaced(false)]
#[case::gone_between(true)]
fn younger_life_kept(#[case] goes_between: bool) {
    let mut roster = Roster::default();
    tell(&mut roster, NOW, at(1, 30), Some(1), false);
    if goes_between {
        roster.remove(NOW, &id());
    }
    tell(&mut roster, NOW, at(1, 42), Some(2), false);
    assert_eq!(tell(&mut roster, NOW, at(2, 35), Some(1), false), [], "the copy's");
    assert_eq!(tell(&mut roster, NOW, at(3, 66), Some(2), false), [(Some(2), false)]);
}

/// What comes late of an era before changes nothing.
#[test]
fn late_news_of_an_era_before() {
    let mut roster = Roster::default();
    tell(&mut roster, NOW, at(2, 5), Some(1), false);
    assert_eq!(tell(&mut roster, NOW, at(1, 90), Some(2), false), []);
    assert_eq!(tell(&mut roster, NOW, at(1, 91), Some(1), true), []);
    assert_eq!(tell(&mut roster, NOW, at(2, 6), Some(1), false), [(Some(1), false)]);
}
