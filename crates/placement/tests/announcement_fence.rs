//! Announcements of a former holder don't replace those of its successor.

use vanetally_placement::AnnouncementFence;
use vanetally_ports::FencingToken;

#[test]
fn late_announcement_rejected() {
    let mut fence = AnnouncementFence::default();
    assert!(fence.admits(Some(FencingToken(7))) && fence.admits(Some(FencingToken(7))));
    assert!(fence.admits(Some(FencingToken(9))), "the successor");
    assert!(!fence.admits(Some(FencingToken(7))), "its predecessor, later");
    assert!(fence.admits(Some(FencingToken(9))));
}

/// A host of an earlier build announces as before, and hides nothing of what others announce.
#[test]
fn unknown_token_admitted() {
    let mut fence = AnnouncementFence::default();
    assert!(fence.admits(None) && fence.admits(Some(FencingToken(7))) && fence.admits(None));
    assert!(!fence.admits(Some(FencingToken(6))));
}
