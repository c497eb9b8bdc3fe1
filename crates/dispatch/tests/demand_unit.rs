//! Demand is told in time of engines that they can give.

mod support;

use support::{Host, request, route, sent_to, upstream};
use vanetally_dispatch::{AttemptEnd, Event};
use vanetally_ports::RequestKind;

/// What a first piece takes here besides reading, and each prompt token.
const BASE_MS: u64 = 60;
const PER_TOKEN_MS: f64 = 0.02;
/// Tokens that a run may make, and what each takes.
const OUTPUT: u32 = 400;
const PER_OUTPUT_MS: u64 = 5;
const SLOTS: f64 = 4.0;

fn host() -> Host {
    let mut host = Host::new(vec![route("offer", RequestKind::Stream, "llm")]);
    host.see("i-1", upstream("llm", 1, &["m1"]));
    host
}

/// Requests one after the other, with prompts of all sizes, at an engine that tells several tokens in its
/// first piece.
fn learn(host: &mut Host, count: u32) {
    for number in 0..count {
        let mut head = request(&format!("r{number}"), "offer", Some("m1"));
        head.prompt_tokens = 100 + number * 397 % 2_500;
        head.output_tokens = OUTPUT;
        let first_ms = BASE_MS + (f64::from(head.prompt_tokens) * PER_TOKEN_MS) as u64;
        let (id, actions) = host.arrive(head);
        sent_to(&actions, id);
        host.now = host.now + first_ms;
        host.tell(Event::FirstPiece { id });
        host.now = host.now + u64::from(OUTPUT) * PER_OUTPUT_MS;
        host.end(id, AttemptEnd::Served);
    }
    host.dispatch.digest(host.now);
}

/// Work that is told of one more request with this prompt, in milliseconds.
fn told(host: &mut Host, prompt_tokens: u32, output_tokens: u32) -> f64 {
    let mut head = request("last", "offer", Some("m1"));
    head.prompt_tokens = prompt_tokens;
    head.output_tokens = output_tokens;
    let (id, _) = host.arrive(head);
    let work_ms = host.dispatch.digest(host.now).demand[0].work_ms;
    host.tell(Event::CallerLeft { id });
    f64::from(work_ms)
}

fn is_near(value: f64, expected: f64) -> bool {
    (value / expected - 1.0).abs() < 0.2
}

#[test]
fn long_runs_take_places() {
    let mut host = host();
    learn(&mut host, 300);
    let run_ms = BASE_MS as f64 + 600.0 * PER_TOKEN_MS + f64::from(OUTPUT) * PER_OUTPUT_MS as f64;
    let work_ms = told(&mut host, 600, OUTPUT);
    assert!(is_near(work_ms, run_ms / SLOTS), "{work_ms} of {run_ms}");
}

/// What the first piece takes besides reading is no reading.
#[test]
fn long_prompts_take_reading() {
    let mut host = host();
    learn(&mut host, 300);
    let reading_ms = 9_000.0 * PER_TOKEN_MS;
    let work_ms = told(&mut host, 9_000, 1);
    assert!(is_near(work_ms, reading_ms / 0.6), "{work_ms} of {reading_ms}");
}
