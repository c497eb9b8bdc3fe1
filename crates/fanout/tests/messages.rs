//! What hosts tell each other is read from bytes: whatever arrives, reading it ends in a value or in nothing.

use proptest::prelude::*;
use vanetally_dispatch::{Digest, LimitRow, LoadRow};
use vanetally_fanout::{Packed, Patch, Versions};
use vanetally_link::peer::{decode, encode};
use vanetally_pacing::{Prompt, SlotReply};
use vanetally_types::Incarnation;

fn digest() -> Digest {
    let row = |number: u64| LoadRow {
        upstream: Incarnation::new(format!("i-{number}"), Some(1_750_000_000_000 + number)),
        running: 3,
        unread_tokens: 200,
        held_tokens: 900,
        good: 4,
        bad: 1,
        limit: Some(LimitRow { rate: Some(1.8), age_ms: 250 }),
    };
    Digest { loads: (0..4).map(row).collect(), demand: Vec::new() }
}

/// Reads `bytes` as all kinds of messages; only that it ends matters.
fn read_all(bytes: &[u8]) {
    let _ = decode::<Digest>(bytes);
    let _ = decode::<Prompt>(bytes);
    let _ = decode::<SlotReply>(bytes);
    if let Some(packed) = decode::<Packed>(bytes) {
        let _ = packed.try_unpack();
    }
    if let Some(patch) = decode::<Patch>(bytes) {
        let _ = Versions::default().try_apply(&patch);
    }
}

#[test]
fn there_and_back() {
    let bytes = encode(&digest()).unwrap();
    assert_eq!(decode::<Digest>(&bytes), Some(digest()));
}

#[test]
fn cut_off_anywhere() {
    let bytes = encode(&digest()).unwrap();
    for end in 0..bytes.len() {
        assert_eq!(decode::<Digest>(&bytes[..end]), None, "the first {end} bytes");
    }
}

/// Lists and texts that state a length far beyond what follows take no memory for it.
#[test]
fn stated_lengths() {
    for head in [0x9b_u8, 0xbb, 0x7b, 0x5b] {
        let mut bytes = vec![head];
        bytes.extend_from_slice(&u64::MAX.to_be_bytes());
        read_all(&bytes);
    }
}

#[test]
fn deeply_nested() {
    read_all(&vec![0x81; 100_000]);
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2_000,
        rng_seed: proptest::test_runner::RngSeed::Fixed(11),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn any_bytes(bytes in prop::collection::vec(any::<u8>(), 0..256)) {
        read_all(&bytes);
    }

    #[test]
    fn byte_over(at in any::<prop::sample::Index>(), byte in any::<u8>()) {
        let mut bytes = encode(&digest()).unwrap();
        let at = at.index(bytes.len());
        bytes[at] = byte;
        read_all(&bytes);
    }
}
