//! Versions of a large value, and patches between them.

use bytes::Bytes;
use vanetally_fanout::{Error, Patch, Versions};
use vanetally_types::hash64;

/// Returns a value of 5,000 entries, one of which differs in each version.
fn value(version: u64) -> Bytes {
    let entry = |number: u64| {
        let timeout = if number == version { 700 } else { 800 };
        let name = hash64(&number.to_le_bytes());
        format!("{{\"name\":\"r-{name:x}\",\"timeout_ms\":{timeout}}}")
    };
    let entries: Vec<String> = (0..5_000).map(entry).collect();
    format!("{{\"version\":{version},\"routes\":[{}]}}", entries.join(",")).into()
}

fn with_versions(versions: impl IntoIterator<Item = u64>) -> Versions {
    let mut kept = Versions::default();
    versions.into_iter().for_each(|version| kept.insert(version, value(version)));
    kept
}

fn patch(from: &mut Versions, have: Option<u64>) -> Patch {
    from.try_patch(have).unwrap().unwrap()
}

#[test]
fn small_patch() {
    let mut sender = with_versions([7, 9]);
    let patch = patch(&mut sender, Some(7));
    assert_eq!((patch.version, patch.base), (9, Some(7)));
    assert!(patch.compressed.len() < 500, "{} bytes", patch.compressed.len());
    assert_eq!(with_versions([7]).try_apply(&patch).unwrap(), value(9));
}

#[test]
fn whole_value_without_base() {
    for have in [None, Some(3)] {
        let patch = patch(&mut with_versions([7, 9]), have);
        assert_eq!(patch.base, None);
        assert!(patch.compressed.len() < value(9).len() / 2);
        assert_eq!(Versions::default().try_apply(&patch).unwrap(), value(9));
    }
}

#[test]
fn versions_skipped() {
    let patch = patch(&mut with_versions([1, 2, 3, 4]), Some(1));
    assert_eq!((patch.version, patch.base), (4, Some(1)));
    assert_eq!(with_versions([1]).try_apply(&patch).unwrap(), value(4));
}

#[test]
fn nothing_newer() {
    assert!(with_versions([7]).try_patch(Some(7)).unwrap().is_none());
    assert!(with_versions([7]).try_patch(Some(8)).unwrap().is_none());
    assert!(Versions::default().try_patch(None).unwrap().is_none());
}

#[test]
fn older_version_ignored() {
    let mut kept = with_versions([7]);
    kept.insert(5, value(5));
    assert_eq!(kept.newest(), Some(7));
    assert!(kept.is_newest(&value(7)) && !kept.is_newest(&value(5)));
}

#[test]
fn base_unknown() {
    let patch = patch(&mut with_versions([7, 9]), Some(7));
    assert!(matches!(with_versions([8]).try_apply(&patch), Err(Error::BaseUnknown(7))));
}

/// A patch is rejected if the receiver's base version has the same number but different bytes.
#[test]
fn base_differs() {
    let patch = patch(&mut with_versions([7, 9]), Some(7));
    let mut other = Versions::default();
    other.insert(7, value(6));
    assert!(other.try_apply(&patch).is_err());
}

#[test]
fn corrupt_patch() {
    let mut patch = patch(&mut with_versions([7]), None);
    patch.size = usize::MAX;
    assert!(matches!(Versions::default().try_apply(&patch), Err(Error::TooLarge(_))));
    patch.size = value(7).len();
    patch.compressed = patch.compressed.slice(..patch.compressed.len() / 2);
    assert!(Versions::default().try_apply(&patch).is_err());
}

#[test]
fn old_versions_dropped() {
    let mut kept = with_versions(1..=9);
    assert_eq!(patch(&mut kept, Some(1)).base, None);
    assert_eq!(patch(&mut kept, Some(8)).base, Some(8));
}
