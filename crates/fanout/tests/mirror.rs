//! What a host knows of one prefix of the store.

use vanetally_fanout::{Gap, Mirror};
use vanetally_ports::{Change, Era, Item, Revision};

fn item(key: &str, revision: u64) -> Item {
    Item { key: key.into(), value: b"v".to_vec().into(), revision: Revision::without_era(revision) }
}

fn gone(key: &str, revision: u64) -> Change {
    Change::Deleted { key: key.into(), revision: Revision::without_era(revision) }
}

fn keys(mirror: &Mirror) -> Vec<String> {
    mirror.items().map(|item| item.key.to_string()).collect()
}

fn read_at(at: u64, items: &[Item]) -> Mirror {
    let mut mirror = Mirror::default();
    assert!(mirror.try_replace(Revision::without_era(at), items));
    mirror
}

#[test]
fn changes_applied() {
    let mut mirror = read_at(5, &[item("a", 3)]);
    let changes = vec![Change::Put(item("b", 6)), gone("a", 7)];
    let news = mirror
        .try_apply(Revision::without_era(5), Revision::without_era(8), changes.clone())
        .unwrap();
    assert_eq!(news, changes);
    assert_eq!(keys(&mirror), ["b"]);
    assert_eq!(mirror.revision(), Some(Revision::without_era(8)));
}

#[test]
fn gap_refused() {
    let mut mirror = read_at(5, &[]);
    let changes = vec![Change::Put(item("b", 9))];
    assert_eq!(
        mirror.try_apply(Revision::without_era(6), Revision::without_era(9), changes),
        Err(Gap)
    );
    assert_eq!(
        Mirror::default().try_apply(Revision::without_era(0), Revision::without_era(1), Vec::new()),
        Err(Gap)
    );
}

/// Changes that are told twice, by two sources, are news once.
#[test]
fn overlap_told_once() {
    let mut mirror = read_at(5, &[item("a", 3)]);
    mirror
        .try_apply(Revision::without_era(5), Revision::without_era(8), vec![gone("a", 7)])
        .unwrap();
    let late = vec![Change::Put(item("a", 6)), gone("a", 7), Change::Put(item("c", 9))];
    let news = mirror.try_apply(Revision::without_era(4), Revision::without_era(9), late).unwrap();
    assert_eq!(news, [Change::Put(item("c", 9))]);
    assert_eq!(keys(&mirror), ["c"]);
}

/// A reading older than what is known would bring back what has gone.
#[test]
fn old_reading_refused() {
    let mut mirror = read_at(5, &[item("a", 3)]);
    mirror
        .try_apply(Revision::without_era(5), Revision::without_era(8), vec![gone("a", 7)])
        .unwrap();
    assert!(!mirror.try_replace(Revision::without_era(6), &[item("a", 3)]));
    assert_eq!(keys(&mirror), [] as [&str; 0]);
    assert!(mirror.try_replace(Revision::without_era(7), &[]), "nothing was known beyond it");
}

/// Pages of one reading are no snapshot: a later one may hold changes beyond its revision.
#[test]
fn later_page() {
    let mut mirror = read_at(5, &[item("a", 6)]);
    let news = mirror.try_apply(
        Revision::without_era(5),
        Revision::without_era(7),
        vec![Change::Put(item("a", 6))],
    );
    assert_eq!(news, Ok(Vec::new()));
}

/// Found in a played day (crd-bidfloor-grown trouble-1): a host that read the store itself got an older
/// reading from an aggregator that it had asked before. It took it, everything after seemed to miss
/// something, and for three seconds it heard of no change: an upstream that had left got requests.
#[test]
fn older_reading_is_no_step_back() {
    let mut mirror = Mirror::default();
    assert!(mirror.try_replace(Revision::without_era(700), &[item("servers/a", 700)]));
    assert!(
        mirror
            .try_apply(Revision::without_era(700), Revision::without_era(716), Vec::new())
            .is_ok()
    );
    mirror.try_replace(Revision::without_era(705), &[item("servers/a", 700)]);
    assert_eq!(mirror.revision(), Some(Revision::without_era(716)), "what is known stays known");
    let change = Change::Put(item("servers/a", 718));
    let news =
        mirror.try_apply(Revision::without_era(716), Revision::without_era(718), vec![change]);
    assert_eq!(news.map(|news| news.len()), Ok(1), "nothing was missing");
}

/// What a reading changes, told as changes, brings another mirror to the same state.
#[test]
fn reading_as_changes() {
    let before = [item("a", 3), item("b", 4), item("c", 5)];
    let after = [item("a", 3), item("b", 7), item("d", 8)];
    let (mut reader, mut follower) = (read_at(5, &before), read_at(5, &before));
    let changes = reader.changes_to(Revision::without_era(9), &after);
    assert_eq!(changes, [gone("c", 9), Change::Put(item("b", 7)), Change::Put(item("d", 8))]);
    assert!(reader.try_replace(Revision::without_era(9), &after));
    follower.try_apply(Revision::without_era(5), Revision::without_era(9), changes).unwrap();
    assert_eq!(keys(&follower), keys(&reader));
    assert_eq!(reader.changes_to(Revision::without_era(9), &after), []);
}

/// A message with changes that was lost on its way is missed even if no other follows.
#[test]
fn lost_message() {
    let mut follower = read_at(5, &[]);
    assert!(!follower.is_behind(Revision::without_era(5)));
    assert!(follower.is_behind(Revision::without_era(7)));
    follower
        .try_apply(
            Revision::without_era(5),
            Revision::without_era(7),
            vec![Change::Put(item("a", 7))],
        )
        .unwrap();
    assert!(!follower.is_behind(Revision::without_era(7)));
    assert!(Mirror::default().is_behind(Revision::without_era(0)), "nothing was read");
}

/// A host that was away a while is told what changed meanwhile, and not everything.
#[test]
fn difference_told() {
    let mut reader = read_at(5, &[item("a", 3), item("b", 4), item("c", 5)]);
    let mut follower = reader.clone();
    let later = vec![Change::Put(item("d", 6)), gone("a", 7), Change::Put(item("b", 8))];
    reader.try_apply(Revision::without_era(5), Revision::without_era(9), later).unwrap();
    let changes = reader.changes_since(Revision::without_era(5)).unwrap();
    assert_eq!(changes, [gone("a", 7), Change::Put(item("b", 8)), Change::Put(item("d", 6))]);
    follower.try_apply(Revision::without_era(5), Revision::without_era(9), changes).unwrap();
    assert_eq!(keys(&follower), keys(&reader));
    assert_eq!(reader.changes_since(Revision::without_era(9)), Some(Vec::new()));
}

/// What went before the first reading is not known: who is further behind needs everything.
#[test]
fn difference_unknown() {
    let reader = read_at(5, &[item("a", 3)]);
    assert_eq!(reader.changes_since(Revision::without_era(4)), None);
    assert_eq!(Mirror::default().changes_since(Revision::without_era(0)), None);
}

/// A key that a later reading lists no more went, and one that came back is there.
#[test]
fn difference_of_readings() {
    let mut reader = read_at(5, &[item("a", 3), item("b", 4)]);
    assert!(reader.try_replace(Revision::without_era(9), &[item("b", 4)]));
    assert_eq!(reader.changes_since(Revision::without_era(5)), Some(vec![gone("a", 9)]));
    reader
        .try_apply(
            Revision::without_era(9),
            Revision::without_era(12),
            vec![Change::Put(item("a", 12))],
        )
        .unwrap();
    assert_eq!(
        reader.changes_since(Revision::without_era(5)),
        Some(vec![Change::Put(item("a", 12))])
    );
}

/// A word that nothing more has changed brings a host up to date without a change.
#[test]
fn advanced() {
    let mut follower = read_at(5, &[item("a", 3)]);
    follower.advance(Revision::without_era(20));
    assert_eq!(follower.revision(), Some(Revision::without_era(20)));
    let mut unread = Mirror::default();
    unread.advance(Revision::without_era(20));
    assert_eq!(unread.revision(), None, "nothing was read");
}

fn in_era(era: u64, number: u64) -> Revision {
    Revision::new(Era(era), number)
}

fn item_in(era: u64, key: &str, number: u64) -> Item {
    Item { revision: in_era(era, number), ..item(key, number) }
}

/// A reading below what was known was dropped, and each change after it, when the store had come back from a copy.
#[test]
fn reading_of_the_next_era() {
    let mut mirror = Mirror::default();
    assert!(mirror.try_replace(in_era(1, 500), &[item_in(1, "a", 490), item_in(1, "b", 500)]));
    assert!(mirror.try_replace(in_era(2, 480), &[item_in(2, "a", 470)]));
    assert_eq!((keys(&mirror), mirror.revision()), (vec!["a".into()], Some(in_era(2, 480))));
    let change = Change::Put(item_in(2, "c", 481));
    let news = mirror.try_apply(in_era(2, 480), in_era(2, 481), vec![change.clone()]);
    assert_eq!(news, Ok(vec![change]));
}

/// An answer that was made before the return and comes late changes nothing, however high its revision.
#[test]
fn late_news_of_an_era_before() {
    let mut mirror = Mirror::default();
    assert!(mirror.try_replace(in_era(2, 10), &[item_in(2, "a", 9)]));
    assert!(!mirror.try_replace(in_era(1, 900), &[item_in(1, "b", 900)]));
    let changes = vec![Change::Put(item_in(1, "b", 901))];
    assert_eq!(mirror.try_apply(in_era(1, 900), in_era(1, 901), changes), Err(Gap));
    mirror.advance(in_era(1, 950));
    assert!(!mirror.is_behind(in_era(1, 950)), "it is behind");
    assert_eq!((keys(&mirror), mirror.revision()), (vec!["a".into()], Some(in_era(2, 10))));
}

/// The watch goes on from a revision that the store has again, but as another change.
#[test]
fn changes_of_the_next_era() {
    let mut mirror = Mirror::default();
    assert!(mirror.try_replace(in_era(1, 500), &[]));
    let changes = vec![Change::Put(item_in(2, "a", 502))];
    assert_eq!(mirror.try_apply(in_era(1, 500), in_era(2, 502), changes.clone()), Err(Gap));
    assert_eq!(mirror.try_apply(in_era(2, 500), in_era(2, 502), changes), Err(Gap));
    assert!(mirror.is_behind(in_era(2, 1)), "all of the next era is missing");
}

/// What differs between eras can't be told: who knows another one needs everything.
#[test]
fn difference_over_eras() {
    let mut mirror = Mirror::default();
    assert!(mirror.try_replace(in_era(1, 500), &[item_in(1, "a", 3)]));
    assert!(mirror.try_replace(in_era(2, 480), &[item_in(2, "a", 3)]));
    assert_eq!(mirror.changes_since(in_era(1, 500)), None);
    assert_eq!(mirror.changes_since(in_era(1, 480)), None);
    assert_eq!(mirror.changes_since(in_era(3, 1)), None);
    assert_eq!(mirror.changes_since(in_era(2, 480)), Some(Vec::new()));
}
