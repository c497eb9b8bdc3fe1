//! The reading speed of engines is learned separately from the constant part of the time to the
//! first piece.

mod support;

use support::{Host, START, configuration, options, request, route, sent_to, upstream};
use vanetally_dispatch::{Action, AttemptEnd, Dispatch, Event, Options, RequestId};
use vanetally_ports::{RequestKind, UpstreamState};

/// Constant part of the time to the first piece: an event holds several tokens.
const BASE_MS: u64 = 60;
/// Reading time of each prompt token.
const PER_TOKEN_US: f64 = 20.0;

fn host() -> Host {
    let mut host = Host::new(vec![route("offer", RequestKind::Stream, "llm")]);
    host.announce("i-1", upstream("llm", 1, &["m1"]));
    host
}

/// Sends `count` requests one after the other, with prompts of various sizes.
fn learn(host: &mut Host, count: u32) {
    for number in 0..count {
        let mut head = request(&format!("r{number}"), "offer", Some("m1"));
        head.prompt_tokens = 100 + number * 397 % 2_500;
        let reading_ms = f64::from(head.prompt_tokens) * PER_TOKEN_US / 1_000.0;
        let (id, actions) = host.arrive(head);
        sent_to(&actions, id);
        host.now = host.now + BASE_MS + reading_ms as u64;
        host.handle(Event::FirstPiece { id });
        host.end_attempt(id, AttemptEnd::Served);
    }
}

/// Returns the reading time per token that is reported to the engine's pacer, in microseconds.
fn reported_pace(host: &mut Host) -> f64 {
    let id = RequestId(9_999);
    let arrived =
        Event::Arrived { id, request: request("last", "offer", Some("m1")), content_hash: 0 };
    let actions = host.dispatch.handle(host.now, arrived);
    let pace_us = actions.iter().find_map(|action| match action {
        Action::Reserve { prompt, .. } => Some(f64::from(prompt.per_token_us)),
        _ => None,
    });
    pace_us.expect("a reservation")
}

/// Guards against counting the constant part as reading time: the reading time was then three times
/// too long, and pacers spaced the prompts accordingly.
#[test]
fn constant_part_is_not_reading_time() {
    let mut host = host();
    learn(&mut host, 300);
    let pace_us = reported_pace(&mut host);
    assert!((pace_us / PER_TOKEN_US - 1.0).abs() < 0.2, "{pace_us} us a token");
}

/// Reading time of the slow engine, as a multiple of that of the other one.
const SLOWNESS: f64 = 1.6;

/// Returns the reading times per token that are reported to the pacers of an engine and of a slow
/// one, after a host has sent prompts to both in turn.
fn paces_of_two(prefix_affinity: bool) -> [f64; 2] {
    let mut host = host();
    host.dispatch = Dispatch::new(START, Options { prefix_affinity, ..options() });
    let routes = vec![route("offer", RequestKind::Stream, "llm")];
    host.handle(Event::Configured(configuration(1, routes)));
    let open_only = |host: &mut Host, number: usize| {
        for other in 0..2 {
            let state = upstream("llm", other as u16, &["m1"]);
            let state = UpstreamState { draining: other != number, ..state };
            host.announce(&format!("i-{other}"), state);
        }
    };
    for number in 0..200 {
        let engine = number as usize % 2;
        open_only(&mut host, engine);
        let mut head = request(&format!("r{number}"), "offer", Some("m1"));
        head.prompt_tokens = 300 + number * 397 % 2_500;
        let (id, actions) = host.arrive(head.clone());
        sent_to(&actions, id);
        let slowness = [1.0, SLOWNESS][engine];
        let reading_ms = f64::from(head.prompt_tokens) * PER_TOKEN_US / 1_000.0;
        host.now = host.now + ((BASE_MS as f64 + reading_ms) * slowness) as u64;
        host.handle(Event::FirstPiece { id });
        host.end_attempt(id, AttemptEnd::Served);
    }
    [0, 1].map(|engine| {
        open_only(&mut host, engine);
        let pace_us = reported_pace(&mut host);
        host.handle(Event::CallerLeft { id: RequestId(9_999) });
        pace_us
    })
}

/// Guards against the same spacing of prompts at a slow engine, which still reads one when the next
/// one arrives.
#[test]
fn slow_engine_is_paced_slower() {
    let [average, slow] = paces_of_two(true);
    assert!(slow / average > 1.2, "{average} and {slow} us a token");
    let [average, slow] = paces_of_two(false);
    assert_eq!(average, slow);
}
