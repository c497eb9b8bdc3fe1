//! The text form of one life of an upstream, as it goes over links.

use rstest::rstest;
use vanetally_types::Incarnation;

#[rstest]
#[case("i-1", Some(1_750_000_000_000), "i-1@1750000000000")]
#[case("i-1", None, "i-1")]
#[case("i@1", None, "i@1@-")]
#[case("i@1", Some(5), "i@1@5")]
#[case("", None, "")]
#[case("", Some(0), "@0")]
fn there_and_back(#[case] id: &str, #[case] born: Option<u64>, #[case] text: &str) {
    let life = Incarnation::new(id, born);
    assert_eq!(life.to_string(), text);
    let json = serde_json::to_string(&life).unwrap();
    assert_eq!(json, format!("\"{text}\""));
    assert_eq!(serde_json::from_str::<Incarnation>(&json).unwrap(), life);
}

/// A host of a version without starts names the id alone: that is no life of which the start is known.
#[test]
fn earlier_version() {
    let told: Incarnation = serde_json::from_str("\"i-1\"").unwrap();
    assert_ne!(told, Incarnation::new("i-1", Some(7)));
}
