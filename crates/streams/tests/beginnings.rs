//! Beginnings that a host keeps: how long, and how many.

use vanetally_ports::Software;
use vanetally_streams::{Beginnings, StreamKey};
use vanetally_types::Tick;

const START: Tick = Tick(1_000);
const KEPT_MS: u64 = 60_000;
/// Maximum number of streams that a host keeps.
const MAX_STREAMS: usize = 32_768;

fn software(version: &str) -> Software {
    Software { service: "llm".into(), version: version.into() }
}

#[test]
fn kept_and_expired() {
    let (mut beginnings, key) = (Beginnings::default(), StreamKey::of("a1"));
    beginnings.record(START, key, &software("v1"), KEPT_MS);
    assert_eq!(beginnings.get(START + KEPT_MS - 1, key), Some(&software("v1")));
    assert_eq!(beginnings.get(START + KEPT_MS, key), None);
    assert_eq!(beginnings.get(START, StreamKey::of("a2")), None);
    beginnings.expire(START + KEPT_MS);
    assert!(beginnings.is_empty());
}

#[test]
fn kept_longer() {
    let (mut beginnings, key) = (Beginnings::default(), StreamKey::of("a1"));
    beginnings.record(START, key, &software("v1"), KEPT_MS);
    beginnings.record(START + KEPT_MS / 2, key, &software("v1"), KEPT_MS);
    beginnings.record(START + KEPT_MS / 2, key, &software("v1"), 1);
    assert_eq!(beginnings.get(START + KEPT_MS, key), Some(&software("v1")));
}

/// Two streams under one id at different versions: neither version is certain.
#[test]
fn ambiguous() {
    let (mut beginnings, key) = (Beginnings::default(), StreamKey::of("a1"));
    beginnings.record(START, key, &software("v1"), KEPT_MS);
    beginnings.record(START, key, &software("v1.2"), KEPT_MS);
    assert_eq!(beginnings.get(START, key), None);
    beginnings.record(START, key, &software("v1"), KEPT_MS);
    assert_eq!(beginnings.get(START, key), None);
}

#[test]
fn bounded() {
    let mut beginnings = Beginnings::default();
    for number in 0..MAX_STREAMS as u64 + 10 {
        let key = StreamKey::of(&number.to_string());
        beginnings.record(START + number, key, &software("v1"), KEPT_MS);
    }
    assert_eq!(beginnings.len(), MAX_STREAMS);
    assert_eq!(beginnings.get(START + 40_000, StreamKey::of("9")), None);
    assert!(beginnings.get(START + 40_000, StreamKey::of("10")).is_some());
}
