//! A mirror that hears from several sources in any order, against the store's own history.

use proptest::prelude::*;
use std::collections::BTreeMap;
use vanetally_fanout::Mirror;
use vanetally_ports::{Change, Item, Revision};
use vanetally_types::Name;

const KEYS: usize = 4;
/// Every third change or so is one of another prefix, which this mirror does not hear of.
const ALL_KEYS: usize = 6;
/// Changes in the store's history; revisions are one more than their index.
const HISTORY: usize = 24;

/// Something that the host hears. Places in the history are shares of it.
#[derive(Clone, Debug)]
enum Heard {
    /// A whole reading, perhaps by another host and long ago.
    Reading { at: usize },
    /// Changes after one place and up to another.
    Changes { after: usize, at: usize },
    /// The host's own watch goes on from what it knows.
    Watch { at: usize },
}

/// The store's keys after the first `at` changes of `history`: which key each wrote, and whether it
/// stayed.
fn state(history: &[(usize, bool)], at: usize) -> BTreeMap<Name, Item> {
    let mut keys = BTreeMap::new();
    for change in changes(history, 0, at) {
        match change {
            Change::Put(item) => drop(keys.insert(item.key.clone(), item)),
            Change::Gone { key, .. } => drop(keys.remove(&key)),
        }
    }
    keys
}

fn changes(history: &[(usize, bool)], after: usize, at: usize) -> Vec<Change> {
    let change = |number: usize| {
        let (key, stays) = history[number];
        let (key, revision) = (format!("k{key}").into(), Revision::without_era(number as u64 + 1));
        match stays {
            true => Change::Put(Item { key, value: b"v".to_vec().into(), revision }),
            false => Change::Gone { key, revision },
        }
    };
    let is_own = |number: &usize| history[*number].0 < KEYS;
    (after.min(at)..at).filter(is_own).map(change).collect()
}

fn heard() -> impl Strategy<Value = Heard> {
    let place = 0..=HISTORY;
    prop_oneof![
        place.clone().prop_map(|at| Heard::Reading { at }),
        (place.clone(), place.clone())
            .prop_map(|(one, other)| Heard::Changes { after: one.min(other), at: one.max(other) }),
        place.prop_map(|at| Heard::Watch { at }),
    ]
}

fn revision(at: usize) -> Revision {
    Revision::without_era(at as u64)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2_000))]

    /// Whatever comes in whatever order, what is known is the store's state at the revision that it
    /// claims, that revision never goes back, and the host's own watch never finds a gap.
    #[test]
    fn knows_what_it_claims(
        history in prop::collection::vec((0..ALL_KEYS, any::<bool>()), HISTORY),
        messages in prop::collection::vec(heard(), 1..40),
    ) {
        let mut mirror = Mirror::default();
        let mut known = Revision::without_era(0);
        for message in messages {
            match message {
                Heard::Reading { at } => {
                    let items: Vec<Item> = state(&history, at).into_values().collect();
                    mirror.try_replace(revision(at), &items);
                }
                Heard::Changes { after, at } => {
                    // A gap changes nothing.
                    let _ = mirror.try_apply(revision(after), revision(at), changes(&history, after, at));
                }
                Heard::Watch { at } if mirror.at().is_some() => {
                    let from = known.number as usize;
                    let at = at.max(from);
                    let told = mirror.try_apply(known, revision(at), changes(&history, from, at));
                    prop_assert!(told.is_ok(), "a gap after {known:?}");
                }
                Heard::Watch { .. } => {}
            }
            let Some(at) = mirror.at() else {
                continue;
            };
            prop_assert!(at >= known, "{at:?} after {known:?}");
            known = at;
            let items: Vec<Item> = mirror.items().cloned().collect();
            let truth: Vec<Item> = state(&history, at.number as usize).into_values().collect();
            prop_assert_eq!(items, truth);
        }
    }
}
