//! Brittle upstreams, which crash when they have to reject too many requests in a second.

mod support;

use support::{START, ask, release, request};
use vanetally_slots::{Owner, SlotAnswer, SlotEnd, SlotRequest};
use vanetally_types::Tick;

const SLOTS: u32 = 6;
const MAX_REJECTIONS: u32 = 5;
/// Interval at which an owner learns of rejections and grants.
const STEP_MS: u64 = 5;

fn brittle() -> SlotRequest {
    SlotRequest { slots: SLOTS, wait_ms: 0, brittle: Some(MAX_REJECTIONS), ..request() }
}

/// Asks for slots until none is granted; returns the numbers of the grants.
fn take_all(owner: &mut Owner, now: Tick, next: &mut u64) -> Vec<u64> {
    let mut granted = Vec::new();
    loop {
        *next += 1;
        match ask(owner, now, *next, &brittle()) {
            SlotAnswer::Granted => granted.push(*next),
            _ => return granted,
        }
    }
}

/// Grants slots to an upstream that takes `room` requests for a while; returns the rejections by time.
fn play(room: usize, duration_ms: u64) -> Vec<u64> {
    let mut owner = Owner::default();
    let mut next = 0;
    let mut running: Vec<(u64, u64)> = Vec::new();
    let mut rejections = Vec::new();
    for at in (0..duration_ms).step_by(STEP_MS as usize) {
        let now = START + at;
        owner.tick(now, |_| 0);
        let (done, open): (Vec<_>, Vec<_>) = running.into_iter().partition(|(_, end)| *end <= at);
        running = open;
        done.iter().for_each(|(number, _)| drop(release(&mut owner, now, *number, SlotEnd::Used)));
        for number in take_all(&mut owner, now, &mut next) {
            if running.len() < room {
                running.push((number, at + 30));
            } else {
                rejections.push(at);
                release(&mut owner, now + 1, number, SlotEnd::Full);
            }
        }
    }
    rejections
}

fn max_in_a_second(rejections: &[u64]) -> usize {
    let in_second =
        |from: &u64| rejections.iter().filter(|at| (*from..from + 1_000).contains(*at)).count();
    rejections.iter().map(in_second).max().unwrap_or(0)
}

/// An upstream that was not granted before, such as one that has just started, is led up.
#[test]
fn led_up() {
    let mut owner = Owner::default();
    let mut next = 0;
    assert_eq!(take_all(&mut owner, START, &mut next).len(), 1);
    let mut granted = 1;
    for step in 1..=10 {
        let now = START + 100 * step;
        owner.tick(now, |_| 0);
        let more = take_all(&mut owner, now, &mut next).len();
        assert!(more <= 1, "{more} more at once");
        granted += more;
    }
    assert_eq!(granted, SLOTS as usize, "no more than there are, and all of them");
}

/// An upstream that has the room that it announces rejects nothing.
#[test]
fn no_rejections() {
    assert_eq!(play(SLOTS as usize, 10_000), []);
}

/// Whatever room is left, the upstream survives.
#[test]
fn less_room() {
    for room in 0..SLOTS as usize {
        let rejections = play(room, 20_000);
        let most = max_in_a_second(&rejections);
        assert!(
            most < MAX_REJECTIONS as usize,
            "{most} rejections in a second with room for {room}"
        );
    }
}

/// A rejection holds grants back for a moment only.
#[test]
fn used_again() {
    let mut owner = Owner::default();
    let mut next = 0;
    let take = |owner: &mut Owner, next: &mut u64, from_ms: u64| {
        for at in (from_ms..from_ms + 5_000).step_by(100) {
            owner.tick(START + at, |_| 0);
            take_all(owner, START + at, next);
        }
        owner.granted()
    };
    assert_eq!(take(&mut owner, &mut next, 0), SLOTS as usize);
    release(&mut owner, START + 5_000, 1, SlotEnd::Full);
    assert_eq!(take(&mut owner, &mut next, 5_000), SLOTS as usize);
}
