//! Prompts for one engine are spaced, whichever hosts send them.

use proptest::prelude::*;
use vanetally_pacing::{Pacer, Prefix, Prompt, SendSlot, SlotReply};
use vanetally_types::Tick;

const GAP_MS: u32 = 300;

fn prompt(upstream: &str, reading_ms: u32) -> Prompt {
    Prompt {
        upstream: upstream.into(),
        model: "m1".into(),
        shared: Vec::new(),
        tokens: reading_ms,
        per_token_us: 1_000,
        gap_ms: GAP_MS,
    }
}

fn granted_delay(reply: SlotReply) -> Option<u32> {
    match reply {
        SlotReply::Granted(slot) => Some(slot.delay_ms),
        SlotReply::Busy { .. } => None,
    }
}

#[test]
fn idle_engine_at_once() {
    let mut pacer = Pacer::default();
    let idle =
        SlotReply::Granted(SendSlot { delay_ms: 0, unread: 60, ahead_ms: 0, is_trial: false });
    assert_eq!(pacer.reserve(Tick(5), &prompt("i-1", 60)), idle);
    assert_eq!(pacer.reserve(Tick(5), &prompt("i-2", 60)), idle);
}

#[test]
fn long_prompt_alone() {
    let mut pacer = Pacer::default();
    assert_eq!(granted_delay(pacer.reserve(Tick(5), &prompt("i-1", 900))), Some(0));
    assert_eq!(granted_delay(pacer.reserve(Tick(5), &prompt("i-1", 10))), None);
}

#[test]
fn later_prompts_wait() {
    let mut pacer = Pacer::default();
    let replies: Vec<SlotReply> =
        (0..5).map(|_| pacer.reserve(Tick(5), &prompt("i-1", 60))).collect();
    let delays: Vec<u32> = replies.iter().filter_map(|reply| granted_delay(*reply)).collect();
    assert!(delays.windows(2).all(|pair| pair[0] <= pair[1]), "{replies:?}");
    assert!(delays.len() < 5, "{replies:?}");
    let Some(SlotReply::Busy { retry_ms }) = replies.last() else {
        panic!("{replies:?}");
    };
    let later = Tick(5) + u64::from(*retry_ms);
    assert!(granted_delay(pacer.reserve(later, &prompt("i-1", 60))).is_some());
}

#[test]
fn gone_engine_removed() {
    let mut pacer = Pacer::default();
    pacer.reserve(Tick(0), &prompt("i-1", 900));
    pacer.forget(&"i-1".into());
    assert_eq!(granted_delay(pacer.reserve(Tick(0), &prompt("i-1", 60))), Some(0));
}

/// A part that the engine read for one host counts as read for all.
#[test]
fn shared_parts_read_once() {
    let mut pacer = Pacer::default();
    let shared = vec![Prefix { key: 7, tokens: 40 }];
    let prompt = Prompt { shared, ..prompt("i-1", 60) };
    let unread = |reply| match reply {
        SlotReply::Granted(slot) => slot.unread,
        SlotReply::Busy { .. } => panic!("busy"),
    };
    assert_eq!(unread(pacer.reserve(Tick(0), &prompt)), 60);
    assert_eq!(unread(pacer.reserve(Tick(1_000), &prompt)), 20);
    pacer.drop_model(&"i-1".into(), &"m1".into());
    assert_eq!(unread(pacer.reserve(Tick(2_000), &prompt)), 60);
}

proptest! {
    /// Within any span of the maximum pause, the prompts sent to an engine take no longer to read
    /// than that pause, plus at most one prompt.
    #[test]
    fn pauses_within_limit(arrivals in prop::collection::vec((0_u64..60, 5_u32..120), 1..200)) {
        let mut pacer = Pacer::default();
        let mut now = Tick(0);
        let mut sent = Vec::new();
        for (pause, reading_ms) in arrivals {
            now = now + pause;
            if let Some(delay) = granted_delay(pacer.reserve(now, &prompt("i-1", reading_ms))) {
                sent.push((now + u64::from(delay), reading_ms));
            }
        }
        for (start, _) in &sent {
            let end = *start + u64::from(GAP_MS);
            let within = sent.iter().filter(|(at, _)| start <= at && *at < end);
            let longest = within.clone().map(|(_, ms)| *ms).max().unwrap_or(0);
            let sum: u32 = within.map(|(_, ms)| ms).sum();
            prop_assert!(sum <= GAP_MS + longest, "{sum} ms at {start:?}");
        }
    }
}
