//! Compares a mirror that receives messages from several sources in any order with the history of the store, which is
//! repeatedly restored from backups.

use proptest::prelude::*;
use std::collections::BTreeMap;
use vanetally_fanout::Mirror;
use vanetally_ports::{Change, Era, Item, Revision};
use vanetally_types::Name;

const KEYS: usize = 4;
/// About every third change is under another prefix and not sent to this mirror.
const ALL_KEYS: usize = 6;
/// Number of changes in the history of one era. Revision numbers are one more than the index.
const CHANGES: usize = 24;
const ERAS: usize = 3;

/// The changes of one era: the key, and whether it was written or deleted. The era starts from a backup of the previous
/// one with its first `restored` changes.
#[derive(Clone, Debug)]
struct EraChanges {
    restored: usize,
    changes: Vec<(usize, bool)>,
}

/// A message that the host receives. `at` and `after` are indexes into the history.
#[derive(Clone, Debug)]
enum Message {
    /// A full read, perhaps an old one by another host.
    FullRead { era: usize, at: usize },
    /// The changes after one index and up to another.
    Changes { era: usize, after: usize, at: usize },
    /// The host's own watch continues from what it knows; the store is in this era.
    Watch { era: usize, at: usize },
    /// Another host's status, which states that no key changed.
    Status { era: usize, at: usize },
    /// The difference between another host's state and this one's.
    Difference { era: usize, at: usize },
}

/// Returns the complete history of each era.
fn histories(eras: &[EraChanges]) -> Vec<Vec<(usize, bool)>> {
    let mut histories: Vec<Vec<(usize, bool)>> = Vec::new();
    for EraChanges { restored, changes } in eras {
        let mut history = histories.last().cloned().unwrap_or_default();
        history.truncate(*restored);
        let missing = CHANGES - history.len();
        history.extend(changes.iter().take(missing));
        histories.push(history);
    }
    histories
}

/// Returns the store's keys after the first `at` changes.
fn state(history: &[(usize, bool)], era: usize, at: usize) -> BTreeMap<Name, Item> {
    let mut keys = BTreeMap::new();
    for change in changes(history, era, 0, at) {
        match change {
            Change::Put(item) => drop(keys.insert(item.key.clone(), item)),
            Change::Deleted { key, .. } => drop(keys.remove(&key)),
        }
    }
    keys
}

fn changes(history: &[(usize, bool)], era: usize, after: usize, at: usize) -> Vec<Change> {
    let change = |index: usize| {
        let (key, is_put) = history[index];
        let (key, revision) = (format!("k{key}").into(), revision(era, index + 1));
        match is_put {
            true => Change::Put(Item { key, value: b"v".to_vec().into(), revision }),
            false => Change::Deleted { key, revision },
        }
    };
    let has_prefix = |index: &usize| history[*index].0 < KEYS;
    (after.min(at)..at).filter(has_prefix).map(change).collect()
}

fn message() -> impl Strategy<Value = Message> {
    let era = 0..ERAS;
    let index = 0..=CHANGES;
    let pair = (era, index.clone());
    prop_oneof![
        pair.clone().prop_map(|(era, at)| Message::FullRead { era, at }),
        (pair.clone(), index).prop_map(|((era, one), other)| Message::Changes {
            era,
            after: one.min(other),
            at: one.max(other)
        }),
        pair.clone().prop_map(|(era, at)| Message::Watch { era, at }),
        pair.clone().prop_map(|(era, at)| Message::Status { era, at }),
        pair.prop_map(|(era, at)| Message::Difference { era, at }),
    ]
}

fn era_changes() -> impl Strategy<Value = EraChanges> {
    let changes = prop::collection::vec((0..ALL_KEYS, any::<bool>()), CHANGES);
    (0..=CHANGES, changes).prop_map(|(restored, changes)| EraChanges { restored, changes })
}

fn revision(era: usize, at: usize) -> Revision {
    Revision::new(Era(era as u64), at as u64)
}

/// Returns the mirror of a host that has read the store after the first `at` changes.
fn mirror_at(history: &[(usize, bool)], era: usize, at: usize) -> Mirror {
    let mut mirror = Mirror::default();
    let items: Vec<Item> = state(history, era, at).into_values().collect();
    mirror.try_replace(revision(era, at), &items);
    mirror
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(4_000))]

    /// For any messages in any order, the mirror holds the store's state at the revision that it states, that
    /// revision never decreases, and the host's own watch never finds a gap within an era.
    #[test]
    fn matches_store_history(
        eras in prop::collection::vec(era_changes(), ERAS),
        messages in prop::collection::vec(message(), 1..40),
    ) {
        let histories = histories(&eras);
        let mut mirror = Mirror::default();
        let mut known = Revision::default();
        for message in messages {
            match message {
                Message::FullRead { era, at } => {
                    let items: Vec<Item> = state(&histories[era], era, at).into_values().collect();
                    mirror.try_replace(revision(era, at), &items);
                }
                Message::Changes { era, after, at } => {
                    let changes = changes(&histories[era], era, after, at);
                    // A gap changes nothing.
                    let _ = mirror.try_apply(revision(era, after), revision(era, at), changes);
                }
                Message::Watch { era, at } if mirror.revision().is_some() => {
                    let from = known.number as usize;
                    let at = at.max(from);
                    let changes = changes(&histories[era], era, from, at);
                    let result = mirror.try_apply(known, revision(era, at), changes);
                    prop_assert!(result.is_ok() == (known.era == Era(era as u64)), "after {known:?}");
                }
                // A status follows the changes before it: within an era none of them is missing then.
                Message::Status { era, at } if known.era == Era(era as u64) => {
                    let from = known.number as usize;
                    if changes(&histories[era], era, from, at).is_empty() {
                        mirror.advance(revision(era, at));
                    }
                }
                Message::Status { era, at } => mirror.advance(revision(era, at)),
                Message::Difference { era, at } => {
                    let other = mirror_at(&histories[era], era, at);
                    if let (Some(have), Some(at)) = (mirror.revision(), other.revision())
                        && let Some(changes) = other.changes_since(have)
                    {
                        prop_assert!(mirror.try_apply(have, at, changes).is_ok());
                    }
                }
                Message::Watch { .. } => {}
            }
            let Some(at) = mirror.revision() else {
                continue;
            };
            prop_assert!(at >= known, "{at:?} after {known:?}");
            known = at;
            let items: Vec<Item> = mirror.items().cloned().collect();
            let era = at.era.0 as usize;
            let expected = state(&histories[era], era, at.number as usize);
            let expected: Vec<Item> = expected.into_values().collect();
            prop_assert_eq!(items, expected);
        }
    }
}
