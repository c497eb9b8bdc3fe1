//! Bodies that callers send are held within one limit.

use vanetally_admission::{
    Action, Admission, BodyId, ConnectionId, Event, Limits, Reason, Timeouts,
};
use vanetally_types::Tick;

const LARGE: usize = 1 << 20;
const SMALL: usize = 1 << 10;
const LIMITS: Limits =
    Limits { connections: 10, bytes: 8 * LARGE, large_bytes: 6 * LARGE, all_bytes: usize::MAX };
const TIMEOUTS: Timeouts = Timeouts { head_ms: 3_000, idle_ms: 15_000 };

struct Host {
    admission: Admission,
    now: Tick,
    max_bytes: usize,
    refused: Vec<(BodyId, Reason)>,
}

impl Host {
    fn new() -> Self {
        let now = Tick(1_000_000);
        let admission = Admission::new(now, LIMITS);
        Self { admission, now, max_bytes: LIMITS.bytes, refused: Vec::new() }
    }

    fn handle(&mut self, event: Event) {
        for action in self.admission.handle(self.now, event) {
            match action {
                Action::Refuse(body, reason) => self.refused.push((body, reason)),
                Action::Close(connection) | Action::RefuseRequest(connection) => {
                    panic!("{connection:?} gives way");
                }
                Action::ReleaseMemory => {}
            }
        }
        let counts = self.admission.counts();
        assert!(counts.bytes <= self.max_bytes, "{} bytes are held", counts.bytes);
    }

    /// Receives `bytes` of a new body.
    fn receive(&mut self, id: u64, bytes: usize) {
        self.handle(Event::BodyBegan(BodyId(id), ConnectionId(id)));
        self.handle(Event::BodyGrows(BodyId(id), bytes));
        self.handle(Event::BodyReceived(BodyId(id), bytes));
    }

    fn is_refused(&self, id: u64) -> bool {
        self.refused.contains(&(BodyId(id), Reason::NoRoom))
    }

    fn wait(&mut self, ms: u64) {
        for _ in 0..ms / 200 {
            self.now = self.now + 200;
            self.handle(Event::Tick(TIMEOUTS));
        }
    }
}

#[test]
fn small_bodies_find_room_beside_large_ones() {
    let mut host = Host::new();
    (0..100).for_each(|id| host.receive(id, LARGE));
    assert_eq!(host.admission.counts().bytes, 6 * LARGE);
    (100..1_000).for_each(|id| host.receive(id, SMALL));
    assert!((100..1_000).all(|id| !host.is_refused(id)));
}

#[test]
fn who_stops_before_the_end_gives_way() {
    let mut host = Host::new();
    (0..6).for_each(|id| host.receive(id, LARGE));
    host.wait(1_200);
    host.receive(6, LARGE);
    assert_eq!(host.refused, [(BodyId(0), Reason::NoRoom)], "the one that stopped first");
}

/// A few bytes a second are no progress of a large body.
#[test]
fn who_trickles_gives_way() {
    let mut host = Host::new();
    (0..6).for_each(|id| host.receive(id, LARGE));
    for _ in 0..6 {
        host.wait(200);
        (0..6).for_each(|id| host.handle(Event::BodyReceived(BodyId(id), 100)));
    }
    host.receive(6, LARGE);
    assert!(!host.is_refused(6));
}

#[test]
fn who_makes_progress_stays() {
    let mut host = Host::new();
    (0..6).for_each(|id| host.receive(id, LARGE));
    host.receive(6, LARGE);
    assert_eq!(host.refused, [(BodyId(6), Reason::NoRoom)]);
}

#[test]
fn larger_ones_give_way_to_smaller_ones() {
    let mut host = Host::new();
    host.receive(0, 2 * LARGE);
    (1..5).for_each(|id| host.receive(id, LARGE));
    host.receive(5, LARGE);
    assert!(host.is_refused(0));
}

/// They may run, or have run.
#[test]
fn whole_bodies_never_give_way() {
    let mut host = Host::new();
    (0..6).for_each(|id| {
        host.receive(id, LARGE);
        host.handle(Event::BodyRead(BodyId(id)));
    });
    host.wait(20_000);
    host.receive(6, LARGE);
    assert_eq!(host.refused, [(BodyId(6), Reason::NoRoom)]);
}

#[test]
fn room_comes_back() {
    let mut host = Host::new();
    (0..6).for_each(|id| host.receive(id, LARGE));
    (0..6).for_each(|id| host.handle(Event::Released(BodyId(id))));
    assert_eq!(host.admission.counts().bytes, 0);
    // What was refused is released as well, later.
    host.handle(Event::Released(BodyId(0)));
    assert_eq!(host.admission.counts().bytes, 0);
}

#[test]
fn silent_bodies_end_after_the_idle_time() {
    let mut host = Host::new();
    host.receive(0, SMALL);
    host.wait(15_000);
    assert!(host.refused.is_empty());
    host.wait(400);
    assert_eq!(host.refused, [(BodyId(0), Reason::Silent)]);
}

/// What callers sent while the process was suspended has not been read yet.
#[test]
fn time_of_a_suspended_host_does_not_count() {
    let mut host = Host::new();
    host.receive(0, SMALL);
    host.wait(1_000);
    host.now = host.now + 60_000;
    host.handle(Event::Tick(TIMEOUTS));
    assert!(host.refused.is_empty());
    host.wait(14_200);
    assert_eq!(host.refused, [(BodyId(0), Reason::Silent)]);
}

#[test]
fn answers_count_against_the_room_of_bodies() {
    let mut host = Host::new();
    host.handle(Event::AnswerHeld(BodyId(0), 6 * LARGE));
    host.receive(1, LARGE);
    assert!(host.is_refused(1));
    host.receive(2, SMALL);
    assert!(!host.is_refused(2));
}

/// One body may need more than the share of large ones. Small ones find their share beside it.
#[test]
fn a_body_beyond_the_share_has_room_alone() {
    let mut host = Host::new();
    let limits = Limits { all_bytes: 20 * LARGE, ..LIMITS };
    host.admission = Admission::new(host.now, limits);
    host.max_bytes = limits.all_bytes;
    host.receive(0, 12 * LARGE);
    (1..=2 * LARGE as u64 / SMALL as u64).for_each(|id| host.receive(id, SMALL));
    assert!(host.refused.is_empty(), "{:?}", host.refused);
    host.receive(10_000, 8 * LARGE);
    assert!(host.is_refused(0) || host.is_refused(10_000), "two of them find no room");
}

#[test]
fn a_body_beyond_all_memory_finds_no_room() {
    let mut host = Host::new();
    host.admission = Admission::new(host.now, Limits { all_bytes: 20 * LARGE, ..LIMITS });
    host.receive(0, 21 * LARGE);
    assert!(host.is_refused(0));
}
