//! A pacer learns the speed of its engines from the samples of all hosts.

use vanetally_pacing::{Pacer, Prompt, SendSlot, SlotReply, SpeedReport};
use vanetally_types::Tick;

/// Time in which an earlier prompt has been read.
const IDLE_MS: u64 = 10_000;

fn prompt(speed: Option<SpeedReport>) -> Prompt {
    Prompt {
        upstream: "i-1".into(),
        model: "m1".into(),
        shared: Vec::new(),
        tokens: 70,
        per_token_us: 1_000,
        gap_ms: 400,
        speed,
    }
}

/// Reserves slots for prompts whose hosts report these samples, then for two prompts at the same
/// time; returns the delay of the second one.
fn delay_after(samples: impl IntoIterator<Item = Option<u16>>, included: u16) -> u32 {
    let mut pacer = Pacer::default();
    let mut now = Tick(5);
    for sample in samples {
        pacer.reserve(now, &prompt(Some(SpeedReport { included: 100, sample })));
        now = now + IDLE_MS;
    }
    let prompt = prompt(Some(SpeedReport { included, sample: None }));
    pacer.reserve(now, &prompt);
    match pacer.reserve(now, &prompt) {
        SlotReply::Granted(SendSlot { delay_ms, .. }) => delay_ms,
        SlotReply::Busy { retry_ms } => panic!("busy for {retry_ms} ms"),
    }
}

/// Hosts that have sent nothing to a slow engine yet take it for an average one. Guards against the
/// spacing of an average engine for their prompts.
#[test]
fn samples_of_other_hosts() {
    let average = delay_after([], 100);
    assert_eq!(delay_after([Some(100); 20], 100), average);
    assert!(delay_after([Some(130); 20], 100) > average + 30);
}

/// What a host already included in the reading time does not count twice.
#[test]
fn included_slowness() {
    let (average, included) = (delay_after([Some(100); 20], 100), delay_after([], 100));
    assert_eq!(average, included);
    assert!(delay_after([Some(130); 20], 130) < delay_after([Some(130); 20], 100));
}

/// One late answer says little: an engine keeps its spacing until several samples agree. A fast
/// engine gets no shorter spacing than an average one.
#[test]
fn few_or_fast_samples() {
    let average = delay_after([], 100);
    assert_eq!(delay_after([Some(800), None], 100), average);
    assert_eq!(delay_after([Some(50); 20], 100), average);
}

/// A prompt of an earlier build is paced as before.
#[test]
fn earlier_build() {
    let mut pacer = Pacer::default();
    for _ in 0..20 {
        let report = SpeedReport { included: 100, sample: Some(200) };
        pacer.reserve(Tick(5), &prompt(Some(report)));
    }
    let SlotReply::Granted(slot) = pacer.reserve(Tick(5) + IDLE_MS, &prompt(None)) else {
        panic!("busy");
    };
    assert_eq!(slot.delay_ms, 0);
    let second = pacer.reserve(Tick(5) + IDLE_MS, &prompt(None));
    assert!(matches!(second, SlotReply::Granted(slot) if slot.ahead_ms < 100), "{second:?}");
}
