//! Connections of callers stay within one limit.

use vanetally_admission::{
    Action, Admission, BodyId, ConnectionId, Event, Limits, Reason, Timeouts,
};
use vanetally_types::Tick;

const LIMITS: Limits =
    Limits { connections: 3, bytes: 1 << 20, large_bytes: 1 << 20, all_bytes: usize::MAX };
/// Limits under which memory bounds the requests.
const TIGHT: Limits = Limits {
    connections: 1_000,
    bytes: 1 << 20,
    large_bytes: 3 << 18,
    all_bytes: 4 * (Limits::CONNECTION_BYTES + Limits::REQUEST_BYTES) + (1 << 18),
};
const TIMEOUTS: Timeouts = Timeouts { head_ms: 3_000, idle_ms: 15_000 };
const START: Tick = Tick(1_000_000);

fn id(number: u64) -> ConnectionId {
    ConnectionId(number)
}

fn tick_until(admission: &mut Admission, until: u64) -> Vec<Action> {
    let ticks = (0..=until / 200).map(|number| START + number * 200);
    ticks.flat_map(|now| admission.handle(now, Event::Tick(TIMEOUTS))).collect()
}

#[test]
fn unused_connections_give_way_first() {
    let mut admission = Admission::new(START, LIMITS);
    let mut handle = |ms, event| admission.handle(START + ms, event);
    handle(0, Event::Opened(id(0)));
    handle(0, Event::HeadRead(id(0)));
    handle(1, Event::Answered(id(0), 0));
    handle(2, Event::Opened(id(1)));
    handle(3, Event::Opened(id(2)));
    assert_eq!(handle(4, Event::Opened(id(3))), [Action::Close(id(1))]);
    assert_eq!(handle(5, Event::Opened(id(4))), [Action::Close(id(2))]);
}

#[test]
fn whoever_has_rested_longest_gives_way() {
    let mut admission = Admission::new(START, LIMITS);
    let mut handle = |ms, event| admission.handle(START + ms, event);
    for (number, rested) in [(0, 30), (1, 10), (2, 20)] {
        handle(0, Event::Opened(id(number)));
        handle(1, Event::HeadRead(id(number)));
        handle(rested, Event::Answered(id(number), 0));
    }
    // It still takes its answer.
    handle(40, Event::Taken(id(1)));
    assert_eq!(handle(50, Event::Opened(id(3))), [Action::Close(id(2))]);
}

#[test]
fn a_body_that_stalls_makes_room_for_a_connection() {
    let mut admission = Admission::new(START, LIMITS);
    for number in 0..3 {
        admission.handle(START, Event::Opened(id(number)));
        admission.handle(START, Event::HeadRead(id(number)));
    }
    admission.handle(START, Event::BodyBegan(BodyId(7), id(0)));
    assert_eq!(admission.handle(START + 10, Event::Opened(id(3))), [Action::Close(id(3))]);
    let actions = admission.handle(START + 2_000, Event::Opened(id(4)));
    assert_eq!(actions, [Action::Refuse(BodyId(7), Reason::NoRoom)]);
}

#[test]
fn connections_never_exceed_the_limit_by_resting_ones() {
    let mut admission = Admission::new(START, LIMITS);
    for number in 0..1_000 {
        admission.handle(START + number, Event::Opened(id(number)));
        assert!(admission.counts().connections <= LIMITS.connections);
    }
}

#[test]
fn heads_end_after_their_time() {
    let mut admission = Admission::new(START, LIMITS);
    admission.handle(START, Event::Opened(id(0)));
    admission.handle(START, Event::HeadBegan(id(0)));
    assert_eq!(tick_until(&mut admission, 3_000), []);
    assert_eq!(tick_until(&mut admission, 3_200), [Action::Close(id(0))]);
}

#[test]
fn connections_close_after_the_idle_time() {
    let mut admission = Admission::new(START, LIMITS);
    admission.handle(START, Event::Opened(id(0)));
    admission.handle(START, Event::Opened(id(1)));
    admission.handle(START, Event::HeadRead(id(1)));
    assert_eq!(tick_until(&mut admission, 15_000), []);
    assert_eq!(tick_until(&mut admission, 30_000), [Action::Close(id(0))], "not the busy one");
}

#[test]
fn callers_leave_descriptors_to_the_host() {
    let limits = Limits::of(260_000_000, 4_100);
    assert!(limits.connections <= 2_000, "{limits:?}");
    assert!(limits.connections >= 1_900, "{limits:?}");
    assert!(limits.bytes <= 65_000_000);
}

/// Opens a connection and reads a request; returns whether it is admitted.
fn begins(admission: &mut Admission, ms: u64, number: u64) -> (bool, Vec<Action>) {
    let body = BodyId(1_000 + number);
    let events = [
        Event::Opened(id(number)),
        Event::HeadRead(id(number)),
        Event::BodyBegan(body, id(number)),
        Event::BodyRead(body),
    ];
    let actions = events.into_iter().flat_map(|event| admission.handle(START + ms, event));
    let actions: Vec<Action> = actions.collect();
    let refused = [Action::Close(id(number)), Action::RefuseRequest(id(number))];
    let is_admitted = !refused.iter().any(|action| actions.contains(action));
    (is_admitted, actions)
}

#[test]
fn requests_stay_within_the_memory() {
    let mut admission = Admission::new(START, TIGHT);
    let admitted = (0..20).filter(|number| begins(&mut admission, 0, *number).0).count();
    assert_eq!(admitted, 4);
    assert!(admission.counts().all_bytes <= TIGHT.all_bytes);
    admission.handle(START, Event::Closed(id(0)));
    assert!(begins(&mut admission, 0, 30).0, "room comes back");
}

#[test]
fn a_body_that_stalls_makes_room_for_a_request() {
    let mut admission = Admission::new(START, TIGHT);
    (0..3).for_each(|number| assert!(begins(&mut admission, 0, number).0));
    for event in [
        Event::Opened(id(3)),
        Event::HeadRead(id(3)),
        Event::BodyBegan(BodyId(7), id(3)),
        Event::BodyGrows(BodyId(7), 1 << 10),
    ] {
        assert_eq!(admission.handle(START, event), []);
    }
    assert!(!begins(&mut admission, 10, 4).0);
    let (is_admitted, actions) = begins(&mut admission, 2_000, 5);
    assert!(is_admitted);
    assert!(actions.contains(&Action::Refuse(BodyId(7), Reason::NoRoom)), "{actions:?}");
}

#[test]
fn who_takes_nothing_of_an_answer_makes_room_for_a_request() {
    let mut admission = Admission::new(START, TIGHT);
    (0..4).for_each(|number| assert!(begins(&mut admission, 0, number).0));
    admission.handle(START, Event::Blocked(id(1)));
    admission.handle(START + 100, Event::Blocked(id(2)));
    admission.handle(START + 200, Event::Taken(id(1)));
    assert!(!begins(&mut admission, 1_050, 4).0, "a second has to pass");
    let (is_admitted, actions) = begins(&mut admission, 1_200, 5);
    assert!(is_admitted);
    assert!(actions.contains(&Action::Close(id(2))), "{actions:?}");
}

#[test]
fn connections_without_a_request_make_room_for_one() {
    let mut admission = Admission::new(START, TIGHT);
    (0..3).for_each(|number| assert!(begins(&mut admission, 0, number).0));
    (10..16).for_each(|number| drop(admission.handle(START, Event::Opened(id(number)))));
    let (is_admitted, actions) = begins(&mut admission, 1, 3);
    assert!(is_admitted, "{actions:?}");
    assert!(actions.contains(&Action::Close(id(10))), "{actions:?}");
}

/// Small bodies find their share beside any number of requests.
#[test]
fn requests_leave_small_bodies_their_share() {
    let mut admission = Admission::new(START, TIGHT);
    (0..4).for_each(|number| assert!(begins(&mut admission, 0, number).0));
    for number in 0..4 {
        admission.handle(START, Event::BodyBegan(BodyId(number), id(number)));
        let grows = Event::BodyGrows(BodyId(number), Limits::SMALL_BODY_BYTES);
        assert_eq!(admission.handle(START, grows), []);
    }
}

#[test]
fn memory_is_released_after_a_peak() {
    let mut admission = Admission::new(START, TIGHT);
    (0..4).for_each(|number| assert!(begins(&mut admission, 0, number).0));
    let tick = |admission: &mut Admission, ms| admission.handle(START + ms, Event::Tick(TIMEOUTS));
    assert_eq!(tick(&mut admission, 200), []);
    (0..4).for_each(|number| drop(admission.handle(START + 300, Event::Closed(id(number)))));
    assert_eq!(tick(&mut admission, 400), [], "the tasks are still ending");
    assert_eq!(tick(&mut admission, 600), [Action::ReleaseMemory]);
    assert_eq!(tick(&mut admission, 800), [], "once");
}

/// The system holds what a caller has not taken, until it gives it up.
#[test]
fn answers_that_are_not_taken_count_for_a_while() {
    let mut admission = Admission::new(START, TIGHT);
    assert!(begins(&mut admission, 0, 0).0);
    admission.handle(START, Event::Answered(id(0), 100 << 10));
    let taking = Limits::CONNECTION_BYTES + Limits::BUFFER_BYTES;
    assert_eq!(admission.counts().all_bytes, taking);
    tick_until(&mut admission, 3_800);
    assert_eq!(admission.counts().all_bytes, taking);
    tick_until(&mut admission, 4_200);
    assert_eq!(admission.counts().all_bytes, Limits::CONNECTION_BYTES);
}
