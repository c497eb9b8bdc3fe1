//! Tests of catalog validation, target lookup and differences.

use rstest::rstest;
use vanetally_config::{Catalog, check::check, diff::diff, jsonc};
use vanetally_types::Labels;

const VALID: &str = r#"{
  // two models on one runner
  "callers": [{"name": "desk", "token_sha256": "HASH", "labels": {"team": "desk"}}],
  "models": [
    {"name": "m", "versions": [{"name": "v1", "size": "10GiB"}], "labels": {"kind": "a"}},
    {"name": "n", "versions": [{"name": "v1", "size": "10GiB"}, {"name": "v2", "size": "12GiB"}]}],
  "adapters": [{"name": "x", "base": "m@v1", "size": "1GiB"}],
  "runners": [{"name": "r", "url": "http://10.0.0.1:1", "domain": "d", "capacity": "40GiB",
    "slots": 4, "fenced": true}],
  "services": [{"name": "s", "instances": [
    {"name": "s1", "url": "http://10.0.0.2:1", "domain": "d", "slots": 4}]}],
  "classes": [{"name": "low", "select": "kind=a"}, {"name": "high", "select": "kind=b"}],
  "yields": [{"low": "low", "high": "high"}]
}"#;

fn catalog_with(old: &str, new: &str) -> Catalog {
    let text = VALID.replace("HASH", &"0".repeat(64));
    assert!(text.contains(old), "{old}");
    jsonc::from_str("test", &text.replacen(old, new, 1)).expect("readable")
}

#[test]
fn valid_catalog() {
    assert_eq!(check(&catalog_with("", "")), Vec::<String>::new());
}

#[rstest]
#[case::duplicate_name("\"name\": \"n\"", "\"name\": \"m\"", "declared twice")]
#[case::bad_name("\"name\": \"n\"", "\"name\": \"n n\"", "use letters")]
#[case::short_hash("\"000", "\"00", "64 hex digits")]
#[case::bad_url("http://10.0.0.1:1", "http://engine:1", "must be http://IP:PORT")]
#[case::unknown_base("m@v1", "m@v9", "base is not declared")]
#[case::too_large("12GiB", "50GiB", "no runner")]
#[case::no_slots("\"slots\": 4", "\"slots\": 0", "slots must be")]
#[case::unknown_class("\"high\": \"high\"", "\"high\": \"none\"", "not declared")]
#[case::yield_cycle(
    "\"low\": \"low\", \"high\": \"high\"",
    "\"low\": \"low\", \"high\": \"low\"",
    "yield to each other"
)]
#[case::no_instance(
    "[\n    {\"name\": \"s1\", \"url\": \"http://10.0.0.2:1\", \"domain\": \"d\", \"slots\": 4}]",
    "[]",
    "no instance"
)]
fn invalid_catalog(#[case] old: &str, #[case] new: &str, #[case] fault: &str) {
    let faults = check(&catalog_with(old, new));
    assert!(faults.iter().any(|f| f.contains(fault)), "{faults:?}");
}

#[rstest]
#[case::unknown_key("\"domain\"", "\"zone\"", "runners[0].zone")]
#[case::size_without_unit("\"10GiB\"", "10", "models[0].versions[0].size")]
#[case::bad_selector("kind=a", "kind=", "classes[0].select")]
fn unreadable_catalog(#[case] old: &str, #[case] new: &str, #[case] key: &str) {
    let text = VALID.replacen(old, new, 1);
    let error = jsonc::from_str::<Catalog>("test", &text).expect_err("unreadable").to_string();
    assert!(error.contains(key), "{error}");
}

#[test]
fn class_ranks() {
    let catalog = catalog_with("", "");
    let rank = |kind: &str| catalog.class_of(&Labels::default(), &Labels::from([("kind", kind)]));
    assert_eq!(rank("a"), ("low".into(), 1));
    assert_eq!(rank("b"), ("high".into(), 0));
    assert_eq!(rank("c"), ("default".into(), 0));
}

#[test]
fn model_target_entries() {
    let catalog = catalog_with("", "");
    let entries = |name: &str| catalog.model_target(name).map(|t| t.entries);
    assert_eq!(entries("n"), Some(vec!["n@v2".into(), "n@v1".into()]), "newest first");
    assert_eq!(entries("n@v1"), Some(vec!["n@v1".into()]));
    assert_eq!(entries("n@v3"), None);
    assert_eq!(entries("x"), Some(vec!["x".into()]));
}

#[test]
fn diff_by_name() {
    let lines = diff(&catalog_with("", ""), &catalog_with("12GiB", "14GiB"));
    let path = "models.n.versions.v2.size";
    assert_eq!(lines, [format!("- {path} \"12GiB\""), format!("+ {path} \"14GiB\"")]);
}
