//! How fast engines read is learned apart from what a first piece takes besides.

mod support;

use support::{Host, request, route, sent_to, upstream};
use vanetally_dispatch::{Action, AttemptEnd, Event, RequestId};
use vanetally_ports::RequestKind;

/// What a first piece takes here besides reading: an event holds several tokens.
const BASE_MS: u64 = 60;
/// What each prompt token takes, in microseconds.
const PER_TOKEN_US: f64 = 20.0;

fn host() -> Host {
    let mut host = Host::new(vec![route("offer", RequestKind::Stream, "llm")]);
    host.see("i-1", upstream("llm", 1, &["m1"]));
    host
}

/// Requests one after the other, with prompts of all sizes.
fn learn(host: &mut Host, count: u32) {
    for number in 0..count {
        let mut head = request(&format!("r{number}"), "offer", Some("m1"));
        head.prompt_tokens = 100 + number * 397 % 2_500;
        let reading_ms = f64::from(head.prompt_tokens) * PER_TOKEN_US / 1_000.0;
        let (id, actions) = host.arrive(head);
        sent_to(&actions, id);
        host.now = host.now + BASE_MS + reading_ms as u64;
        host.tell(Event::FirstPiece { id });
        host.end(id, AttemptEnd::Served);
    }
}

/// The pace that the engine's pacer is told of the next prompt, in microseconds a token.
fn told(host: &mut Host) -> f64 {
    let id = RequestId(9_999);
    let arrived =
        Event::Arrived { id, request: request("last", "offer", Some("m1")), content_hash: 0 };
    let actions = host.dispatch.handle(host.now, arrived);
    let paces = actions.iter().find_map(|action| match action {
        Action::Reserve { prompt, .. } => Some(f64::from(prompt.per_token_us)),
        _ => None,
    });
    paces.expect("the pacer is asked")
}

/// Found on a played day: the pace came out three times too slow, and pacers spaced prompts accordingly.
#[test]
fn base_is_no_reading() {
    let mut host = host();
    learn(&mut host, 300);
    let pace_us = told(&mut host);
    assert!((pace_us / PER_TOKEN_US - 1.0).abs() < 0.2, "{pace_us} us a token");
}
