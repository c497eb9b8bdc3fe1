//! What the store keeps of versions, and when it is believed.

use rstest::rstest;
use vanetally_ports::Era;
use vanetally_streams::{Record, Versions};

fn one() -> Versions {
    Versions::One("v1".into())
}

/// A copy of the store may have forgotten versions.
#[rstest]
#[case(0, 0, true)]
#[case(3, 3, true)]
#[case(0, 1, false)]
#[case(2, 5, false)]
fn record_of_earlier_era(#[case] written: u64, #[case] read: u64, #[case] is_believed: bool) {
    let record = Record::new(one(), Era(written), true);
    let expected = if is_believed { one() } else { Versions::Several };
    assert_eq!(record.versions_in(Era(read)), expected);
}

/// A store that was restored may have lost a record.
#[rstest]
#[case(0, false, true)]
#[case(0, true, true)]
#[case(1, true, true)]
#[case(1, false, false)]
fn first_record(#[case] era: u64, #[case] has_record: bool, #[case] is_believed: bool) {
    let record = Record::new(one(), Era(era), has_record);
    let expected = if is_believed { one() } else { Versions::Several };
    assert_eq!(record.versions, expected);
}

/// Records of earlier builds name no era, and earlier builds pass over it.
#[test]
fn earlier_builds() {
    let read: Record = serde_json::from_str(r#"{"only":"v1"}"#).expect("it is readable");
    assert_eq!(read, Record::new(one(), Era(0), true));
    let text = serde_json::to_string(&Record::new(Versions::Several, Era(2), true));
    let value: serde_json::Value = serde_json::from_str(&text.expect("text")).expect("JSON");
    assert_eq!(value, serde_json::json!({ "only": null, "era": 2 }));
    let versions: Versions = serde_json::from_value(value).expect("it is readable");
    assert_eq!(versions, Versions::Several);
}
