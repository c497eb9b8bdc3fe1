//! Decoding of messages between hosts: any bytes decode to a value or to `None`, without a panic.

use proptest::prelude::*;
use vanetally_dispatch::{Digest, LimitRow, LoadRow, WaitCounts, WaitRow};
use vanetally_fanout::{Packed, Patch, Versions};
use vanetally_link::peer::{decode, encode};
use vanetally_pacing::{Prompt, SlotReply};
use vanetally_types::{Incarnation, Rank};

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
    Digest { loads: (0..4).map(row).collect(), demand: Vec::new(), waiting: Vec::new() }
}

/// Decodes `bytes` as each kind of message; only a panic or a hang would be a failure.
fn decode_all(bytes: &[u8]) {
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
fn round_trip() {
    let bytes = encode(&digest()).unwrap();
    assert_eq!(decode::<Digest>(&bytes), Some(digest()));
}

#[test]
fn truncated_anywhere() {
    let bytes = encode(&digest()).unwrap();
    for end in 0..bytes.len() {
        assert_eq!(decode::<Digest>(&bytes[..end]), None, "the first {end} bytes");
    }
}

/// Lists and strings that state a length far beyond the data must not allocate that much.
#[test]
fn excessive_lengths() {
    for head in [0x9b_u8, 0xbb, 0x7b, 0x5b] {
        let mut bytes = vec![head];
        bytes.extend_from_slice(&u64::MAX.to_be_bytes());
        decode_all(&bytes);
    }
}

#[test]
fn deeply_nested() {
    decode_all(&vec![0x81; 100_000]);
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2_000,
        rng_seed: proptest::test_runner::RngSeed::Fixed(11),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn arbitrary_bytes(bytes in prop::collection::vec(any::<u8>(), 0..256)) {
        decode_all(&bytes);
    }

    #[test]
    fn byte_overwritten(at in any::<prop::sample::Index>(), byte in any::<u8>()) {
        let mut bytes = encode(&digest()).unwrap();
        let at = at.index(bytes.len());
        bytes[at] = byte;
        decode_all(&bytes);
    }
}

/// A row of waiting requests stays small: hosts send them ten times a second for each busy model.
#[test]
fn waiting_row_size() {
    let counts = WaitCounts { on_time: 900, due_soon: 800, late: 90, sent: 600, sent_late: 40 };
    let row = WaitRow {
        service: "llm-large-1".into(),
        model: Some("vendor-model-70b-chat".into()),
        rank: Rank(1, 2),
        counts,
    };
    let size = encode(&row).unwrap().len();
    assert!(size <= 68, "{size} bytes");
}
