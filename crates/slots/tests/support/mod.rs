//! Requests for slots of one upstream.
#![allow(dead_code)]

use vanetally_slots::{Owner, Reply, SlotAnswer, SlotEnd, SlotRequest};
use vanetally_types::{Name, Rank, Tick};

pub const START: Tick = Tick(100_000);
/// Announced slots; one more is granted.
pub const SLOTS: u32 = 2;
pub const GRANTED: u64 = 3;

pub fn request() -> SlotRequest {
    SlotRequest {
        upstream: "i-1".into(),
        slots: SLOTS,
        rank: Rank(1, 1),
        wait_ms: 1_000,
        is_late: false,
        hold_ms: 3_000,
        brittle: None,
    }
}

pub fn host() -> Name {
    "front-1".into()
}

/// Asks for a slot as `front-1`; returns the answer to this request.
pub fn ask(owner: &mut Owner, now: Tick, number: u64, request: &SlotRequest) -> SlotAnswer {
    let replies = owner.acquire(now, (&host(), number), request, 0);
    let own = replies.into_iter().find(|reply| reply.number == number);
    own.expect("an answer").answer
}

/// Takes all slots with the numbers from 0.
pub fn full_owner(now: Tick) -> Owner {
    let mut owner = Owner::default();
    for number in 0..GRANTED {
        assert_eq!(ask(&mut owner, now, number, &request()), SlotAnswer::Granted);
    }
    owner
}

/// Ends a grant of `front-1`; returns the numbers that are granted instead.
pub fn release(owner: &mut Owner, now: Tick, number: u64, end: SlotEnd) -> Vec<u64> {
    granted(&owner.release(now, (&host(), number), &"i-1".into(), end))
}

pub fn granted(replies: &[Reply]) -> Vec<u64> {
    let granted = replies.iter().filter(|reply| reply.answer == SlotAnswer::Granted);
    granted.map(|reply| reply.number).collect()
}
