//! Decoders never panic on arbitrary input, and encoded values decode to equal ones.

use proptest::{prelude::*, test_runner::RngSeed};
use vanetally_claim::{ClaimRequest, Id, Record as SlotRecord, Ticket};
use vanetally_config::{Catalog, Millis, Revision, Settings, Size, jsonc};
use vanetally_core::Frame;
use vanetally_ledger::{Order, Record as RunnerRecord, Report};
use vanetally_link::peer::decode;
use vanetally_member::ListedHost;
use vanetally_types::{HostId, Selector};

fn encode(frame: &Frame) -> Vec<u8> {
    let mut bytes = Vec::new();
    ciborium::into_writer(frame, &mut bytes).expect("encode the frame");
    bytes
}

fn frames() -> Vec<Frame> {
    let listed = ListedHost {
        name: "a".into(),
        link_addr: "10.0.0.1:1".into(),
        domain: "d".into(),
        leaving: false,
    };
    let ticket = Ticket { entry: HostId::new("a", 7), number: 9 };
    vec![
        Frame::Ping { listed, config: 3, tables: 4 },
        Frame::PullConfig,
        Frame::Config(Default::default()),
        Frame::Demand([("m".into(), (1, 2))].into()),
        Frame::Claim(ClaimRequest { id: Id(u128::MAX), deadline: 5, ticket: ticket.clone() }),
        Frame::FinishAck(ticket),
    ]
}

#[test]
fn frame_round_trip() {
    for frame in frames() {
        assert_eq!(decode::<Frame>(&encode(&frame)), Some(frame));
    }
}

#[test]
fn deep_nesting() {
    // Guards against stack exhaustion by deeply nested lists.
    assert_eq!(decode::<Frame>(&vec![0x81; 1_000_000]), None);
}

/// A fixed seed, so that every run tests the same inputs.
fn fixed_seed() -> ProptestConfig {
    let rng_seed = RngSeed::Fixed(1);
    ProptestConfig { rng_seed, failure_persistence: None, ..ProptestConfig::default() }
}

proptest! {
    #![proptest_config(fixed_seed())]

    #[test]
    fn random_frames(bytes in prop::collection::vec(any::<u8>(), 0..400)) {
        let _ = decode::<Frame>(&bytes);
    }

    #[test]
    fn corrupted_frames(frame in 0..6_usize, at in any::<prop::sample::Index>(), byte: u8) {
        let mut bytes = encode(&frames()[frame]);
        let offset = at.index(bytes.len());
        bytes[offset] = byte;
        let _ = decode::<Frame>(&bytes);
        bytes.truncate(offset);
        let _ = decode::<Frame>(&bytes);
    }

    #[test]
    fn random_json(text in "[ -~\\n]{0,200}") {
        let _ = jsonc::from_str::<Catalog>("catalog", &text);
        let _ = jsonc::from_str::<Settings>("settings", &text);
        let _ = serde_json::from_str::<Revision>(&text);
        let _ = serde_json::from_str::<SlotRecord>(&text);
        let _ = serde_json::from_str::<RunnerRecord>(&text);
        let _ = serde_json::from_str::<Report>(&text);
        let _ = serde_json::from_str::<Order>(&text);
    }

    #[test]
    fn random_scalars(text in "\\PC{0,60}") {
        let _ = text.parse::<Selector>();
        let _ = text.parse::<Millis>();
        let _ = text.parse::<Size>();
    }

    #[test]
    fn unit_round_trip(value in 0..u64::MAX / 2) {
        prop_assert_eq!(Size(value).to_string().parse(), Ok(Size(value)));
        prop_assert_eq!(Millis(value).to_string().parse(), Ok(Millis(value)));
    }
}
