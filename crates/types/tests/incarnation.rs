//! The text form of an incarnation, as sent over links.

use rstest::rstest;
use vanetally_types::Incarnation;

#[rstest]
#[case("i-1", Some(1_750_000_000_000), "i-1@1750000000000")]
#[case("i-1", None, "i-1")]
#[case("i@1", None, "i@1@-")]
#[case("i@1", Some(5), "i@1@5")]
#[case("", None, "")]
#[case("", Some(0), "@0")]
fn text_round_trip(#[case] id: &str, #[case] born: Option<u64>, #[case] text: &str) {
    let incarnation = Incarnation::new(id, born);
    assert_eq!(incarnation.to_string(), text);
    let json = serde_json::to_string(&incarnation).unwrap();
    assert_eq!(json, format!("\"{text}\""));
    assert_eq!(serde_json::from_str::<Incarnation>(&json).unwrap(), incarnation);
}

/// A host whose version does not support start times sends the id alone, which must not equal an incarnation with a
/// known start time.
#[test]
fn earlier_version_sends_id_only() {
    let received: Incarnation = serde_json::from_str("\"i-1\"").unwrap();
    assert_ne!(received, Incarnation::new("i-1", Some(7)));
}
