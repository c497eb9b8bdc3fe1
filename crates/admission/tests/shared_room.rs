//! Room that many bodies share.
//!
//! Guards against bodies that are bounded one by one and not together.

use vanetally_admission::{Share, SharedRoom};

const ROOM: usize = 1 << 20;
const SMALL: usize = 16 << 10;

/// Lets `count` bodies grow to `held` bytes in steps; returns the shares of those that had room for all of it.
fn fill(room: &mut SharedRoom, count: usize, held: usize) -> Vec<Share> {
    let mut shares = vec![Share::default(); count];
    shares.retain_mut(|share| (1..=held / 1_024).all(|step| room.grow(share, step * 1_024)));
    shares
}

/// Bodies without end use no more than the room, however many they are.
#[test]
fn many_small_bodies() {
    let mut room = SharedRoom::new(ROOM);
    let shares = fill(&mut room, 4_800, SMALL);
    assert_eq!(shares.len(), ROOM / SMALL);
}

/// A few large bodies leave room for small ones.
#[test]
fn large_bodies() {
    let mut room = SharedRoom::new(ROOM);
    let large = fill(&mut room, 4, 4 * ROOM);
    assert_eq!(large.len(), 0, "none fits");
    let small = fill(&mut room, 10, SMALL);
    assert_eq!(small.len(), 10);
}

/// What was used is free again.
#[test]
fn released() {
    let mut room = SharedRoom::new(ROOM);
    let before = room;
    for share in fill(&mut room, 8, 4 * SMALL) {
        room.release(share);
    }
    assert_eq!(room, before);
}

/// A body that gets no room keeps its share.
#[test]
fn refused() {
    let mut room = SharedRoom::new(ROOM);
    let mut share = Share::default();
    assert!(room.grow(&mut share, SMALL));
    let (kept, left) = (share, room);
    assert!(!room.grow(&mut share, 2 * ROOM));
    assert_eq!((share, room), (kept, left));
}
