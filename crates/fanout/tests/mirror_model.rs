//! A mirror that hears from several sources in any order, of a store that comes back from copies, against the store's
//! own history.

use proptest::prelude::*;
use std::collections::BTreeMap;
use vanetally_fanout::Mirror;
use vanetally_ports::{Change, Era, Item, Revision};
use vanetally_types::Name;

const KEYS: usize = 4;
/// Every third change or so is one of another prefix, which this mirror does not hear of.
const ALL_KEYS: usize = 6;
/// Changes in the history of one era; their numbers are one more than their index.
const HISTORY: usize = 24;
const ERAS: usize = 3;

/// What was written in one era: which key, and whether it stayed. It begins with what the era before had up to `copy`.
#[derive(Clone, Debug)]
struct Stretch {
    copy: usize,
    changes: Vec<(usize, bool)>,
}

/// Something that the host hears. Places in the history are shares of it.
#[derive(Clone, Debug)]
enum Heard {
    /// A whole reading, perhaps by another host and long ago.
    Reading { era: usize, at: usize },
    /// Changes after one place and up to another.
    Changes { era: usize, after: usize, at: usize },
    /// The host's own watch goes on from what it knows; the store is in this era.
    Watch { era: usize, at: usize },
    /// Another host's word that nothing more changed.
    Word { era: usize, at: usize },
    /// Another host's difference to what this one knows.
    Difference { era: usize, at: usize },
}

/// The history of each era, from its beginning on.
fn histories(stretches: &[Stretch]) -> Vec<Vec<(usize, bool)>> {
    let mut histories: Vec<Vec<(usize, bool)>> = Vec::new();
    for Stretch { copy, changes } in stretches {
        let mut history = histories.last().cloned().unwrap_or_default();
        history.truncate(*copy);
        let missing = HISTORY - history.len();
        history.extend(changes.iter().take(missing));
        histories.push(history);
    }
    histories
}

/// The store's keys after the first `at` changes.
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
    let change = |number: usize| {
        let (key, stays) = history[number];
        let (key, revision) = (format!("k{key}").into(), revision(era, number + 1));
        match stays {
            true => Change::Put(Item { key, value: b"v".to_vec().into(), revision }),
            false => Change::Deleted { key, revision },
        }
    };
    let is_own = |number: &usize| history[*number].0 < KEYS;
    (after.min(at)..at).filter(is_own).map(change).collect()
}

fn heard() -> impl Strategy<Value = Heard> {
    let era = 0..ERAS;
    let place = 0..=HISTORY;
    let pair = (era, place.clone());
    prop_oneof![
        pair.clone().prop_map(|(era, at)| Heard::Reading { era, at }),
        (pair.clone(), place).prop_map(|((era, one), other)| Heard::Changes {
            era,
            after: one.min(other),
            at: one.max(other)
        }),
        pair.clone().prop_map(|(era, at)| Heard::Watch { era, at }),
        pair.clone().prop_map(|(era, at)| Heard::Word { era, at }),
        pair.prop_map(|(era, at)| Heard::Difference { era, at }),
    ]
}

fn stretch() -> impl Strategy<Value = Stretch> {
    let changes = prop::collection::vec((0..ALL_KEYS, any::<bool>()), HISTORY);
    (0..=HISTORY, changes).prop_map(|(copy, changes)| Stretch { copy, changes })
}

fn revision(era: usize, at: usize) -> Revision {
    Revision::new(Era(era as u64), at as u64)
}

/// The mirror of a host that has read the store at this place.
fn read(history: &[(usize, bool)], era: usize, at: usize) -> Mirror {
    let mut mirror = Mirror::default();
    let items: Vec<Item> = state(history, era, at).into_values().collect();
    mirror.try_replace(revision(era, at), &items);
    mirror
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(4_000))]

    /// Whatever comes in whatever order, what is known is the store's state at the revision that it
    /// claims, that revision never goes back, and the host's own watch never finds a gap within an era.
    #[test]
    fn knows_what_it_claims(
        stretches in prop::collection::vec(stretch(), ERAS),
        messages in prop::collection::vec(heard(), 1..40),
    ) {
        let histories = histories(&stretches);
        let mut mirror = Mirror::default();
        let mut known = Revision::default();
        for message in messages {
            match message {
                Heard::Reading { era, at } => {
                    let items: Vec<Item> = state(&histories[era], era, at).into_values().collect();
                    mirror.try_replace(revision(era, at), &items);
                }
                Heard::Changes { era, after, at } => {
                    let changes = changes(&histories[era], era, after, at);
                    // A gap changes nothing.
                    let _ = mirror.try_apply(revision(era, after), revision(era, at), changes);
                }
                Heard::Watch { era, at } if mirror.revision().is_some() => {
                    let from = known.number as usize;
                    let at = at.max(from);
                    let changes = changes(&histories[era], era, from, at);
                    let told = mirror.try_apply(known, revision(era, at), changes);
                    prop_assert!(told.is_ok() == (known.era == Era(era as u64)), "after {known:?}");
                }
                // A word is about what was told before: within an era nothing is missing then.
                Heard::Word { era, at } if known.era == Era(era as u64) => {
                    let from = known.number as usize;
                    if changes(&histories[era], era, from, at).is_empty() {
                        mirror.advance(revision(era, at));
                    }
                }
                Heard::Word { era, at } => mirror.advance(revision(era, at)),
                Heard::Difference { era, at } => {
                    let other = read(&histories[era], era, at);
                    if let (Some(have), Some(at)) = (mirror.revision(), other.revision())
                        && let Some(changes) = other.changes_since(have)
                    {
                        prop_assert!(mirror.try_apply(have, at, changes).is_ok());
                    }
                }
                Heard::Watch { .. } => {}
            }
            let Some(at) = mirror.revision() else {
                continue;
            };
            prop_assert!(at >= known, "{at:?} after {known:?}");
            known = at;
            let items: Vec<Item> = mirror.items().cloned().collect();
            let era = at.era.0 as usize;
            let truth = state(&histories[era], era, at.number as usize);
            let truth: Vec<Item> = truth.into_values().collect();
            prop_assert_eq!(items, truth);
        }
    }
}
