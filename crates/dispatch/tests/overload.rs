//! More requests than a plain service can answer: which are served, which are refused, and when.

mod support;

use std::collections::VecDeque;
use support::{Host, START, refusal, request, route, sent, upstream};
use vanetally_dispatch::{Action, AttemptEnd, RequestId};
use vanetally_ports::{RequestKind, Route};
use vanetally_types::Tick;

const WORK_MS: u64 = 60;
const TARGET_MS: u64 = 300;
/// Requests that the upstream processes at once.
const SLOTS: usize = 4;

/// A plain upstream that processes [`SLOTS`] requests at once and queues the others.
#[derive(Default)]
struct PlainUpstream {
    working: Vec<(Tick, RequestId)>,
    waiting: VecDeque<RequestId>,
}

impl PlainUpstream {
    /// Starts queued requests in free slots; returns the requests that are done at `now`.
    fn advance(&mut self, now: Tick) -> Vec<RequestId> {
        let (done, working) = self.working.drain(..).partition(|(end, _)| *end <= now);
        self.working = working;
        while self.working.len() < SLOTS
            && let Some(id) = self.waiting.pop_front()
        {
            self.working.push((now + WORK_MS, id));
        }
        let done: Vec<(Tick, RequestId)> = done;
        done.into_iter().map(|(_, id)| id).collect()
    }
}

/// Outcome of all requests.
#[derive(Debug, Default)]
struct Outcome {
    requests: usize,
    in_time: usize,
    late: usize,
    refused: usize,
    /// Longest time from the arrival of a request to its refusal.
    max_refusal_ms: u64,
}

/// Sends a request every `every_ms` for ten seconds.
fn run(every_ms: u64) -> Outcome {
    let desk_route = Route {
        target_ms: TARGET_MS,
        timeout_ms: 1_500,
        ..route("check", RequestKind::Once, "desk")
    };
    let mut host = Host::new(vec![desk_route]);
    host.announce("i-1", upstream("desk", 1, &[]));
    let mut plain_upstream = PlainUpstream::default();
    let mut arrived: Vec<(RequestId, Tick)> = Vec::new();
    let mut outcome = Outcome::default();
    for ms in 0..11_500 {
        host.now = START + ms;
        let mut actions = Vec::new();
        if ms < 10_000 && ms % every_ms == 0 {
            let (id, more) = host.arrive(request(&format!("r{ms}"), "check", None));
            arrived.push((id, host.now));
            outcome.requests += 1;
            actions.extend(more);
        }
        for id in plain_upstream.advance(host.now) {
            let began = arrived.iter().find(|(known, _)| *known == id).expect("a known request").1;
            let is_in_time = host.now.since(began) <= TARGET_MS;
            outcome.in_time += usize::from(is_in_time);
            outcome.late += usize::from(!is_in_time);
            actions.extend(host.end_attempt(id, AttemptEnd::Served));
        }
        if ms % 20 == 0 {
            actions.extend(host.advance(0));
            actions.extend(host.handle(vanetally_dispatch::Event::Tick));
        }
        for (id, began) in &arrived {
            if !sent(&actions, *id).is_empty() {
                plain_upstream.waiting.push_back(*id);
            }
            if refusal(&actions, *id).is_some() {
                outcome.refused += 1;
                outcome.max_refusal_ms = outcome.max_refusal_ms.max(host.now.since(*began));
            }
        }
        plain_upstream.advance(host.now);
        let _: Vec<Action> = actions;
    }
    outcome
}

/// A service gets more requests than its last upstream can answer. Guards against serving them in
/// order of arrival: nearly all answers would then be late, and refused requests would have waited
/// for most of their timeout. Requests that can still be in time come first, so the full capacity
/// yields answers in time.
#[test]
fn more_than_capacity() {
    // The upstream can answer 66 requests per second and gets 110.
    let outcome = run(9);
    let possible = 10_000 * SLOTS / WORK_MS as usize;
    assert!(outcome.in_time * 10 >= possible * 9, "{outcome:?} of {possible} possible");
    assert!(outcome.max_refusal_ms <= 2 * TARGET_MS + 40, "{outcome:?}");
    assert_eq!(outcome.requests, outcome.in_time + outcome.late + outcome.refused, "{outcome:?}");
}

#[test]
fn less_than_capacity() {
    let outcome = run(17);
    assert_eq!(outcome.in_time, outcome.requests, "{outcome:?}");
}

/// An upstream that rejects one request after another is tried less and less often until it answers
/// one.
#[test]
fn repeated_rejections_back_off() {
    let mut host = Host::new(vec![Route {
        timeout_ms: 30_000,
        ..route("check", RequestKind::Idempotent, "desk")
    }]);
    host.announce("i-1", upstream("desk", 1, &[]));
    let mut pauses = Vec::new();
    for number in 0..5 {
        let id = RequestId(number);
        let (id, mut actions) = (id, {
            let (known, actions) = host.arrive(request(&format!("r{number}"), "check", None));
            assert_eq!(known, id);
            actions
        });
        let begun = host.now;
        while sent(&actions, id).is_empty() {
            actions = host.advance(20);
        }
        pauses.push(host.now.since(begun));
        host.end_attempt(id, AttemptEnd::Full);
        host.handle(vanetally_dispatch::Event::CallerLeft { id });
    }
    assert!(pauses.windows(2).skip(1).take(3).all(|pair| pair[1] > pair[0]), "{pauses:?}");
}
