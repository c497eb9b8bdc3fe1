//! Parsing and matching of selectors.

use rstest::rstest;
use vanetally_types::{Labels, Selector};

#[rstest]
#[case("", true)]
#[case("team=desk", true)]
#[case("team==desk", true)]
#[case("team=other", false)]
#[case("team!=other", true)]
#[case("tier in (gold, silver)", true)]
#[case("tier in (bronze)", false)]
#[case("tier notin (bronze)", true)]
#[case("absent notin (x)", true)]
#[case("team", true)]
#[case("!team", false)]
#[case("!absent", true)]
#[case("team=desk,tier in (gold,silver),!absent", true)]
#[case("team=desk, absent", false)]
fn matches_labels(#[case] text: &str, #[case] expected: bool) {
    let labels = Labels::from([("team", "desk"), ("tier", "gold")]);
    let selector: Selector = text.parse().expect("valid selector");
    assert_eq!(selector.matches(&labels), expected);
}

#[rstest]
#[case("=desk")]
#[case("team=")]
#[case("team=a b")]
#[case("tier in gold")]
#[case("tier within (gold)")]
#[case("a,,b")]
#[case("!")]
fn rejects_malformed(#[case] text: &str) {
    assert!(text.parse::<Selector>().is_err());
}
