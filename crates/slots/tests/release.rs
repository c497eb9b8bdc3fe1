//! Ends of grants: reported, lost, doubled, late.

mod support;

use support::{GRANTED, START, ask, full_owner, granted, host, release, request};
use vanetally_slots::{Owner, SlotAnswer, SlotEnd};
use vanetally_types::Name;

/// Guards against a slot that two requests take because a message came twice.
#[test]
fn doubled_messages() {
    let mut owner = full_owner(START);
    assert_eq!(ask(&mut owner, START, 0, &request()), SlotAnswer::Granted);
    assert_eq!(owner.granted() as u64, GRANTED);
    ask(&mut owner, START, 10, &request());
    ask(&mut owner, START, 11, &request());
    assert_eq!(release(&mut owner, START, 0, SlotEnd::Used), [10]);
    assert!(release(&mut owner, START, 0, SlotEnd::Used).is_empty());
    assert_eq!((owner.granted() as u64, owner.waiting()), (GRANTED, 1));
}

/// Guards against a slot for a request that has already ended.
#[test]
fn release_before_request() {
    let mut owner = Owner::default();
    release(&mut owner, START, 5, SlotEnd::Unused);
    let replies = owner.acquire(START + 10, (&host(), 5), &request(), 0);
    assert!(replies.is_empty() && owner.granted() == 0, "{replies:?}");
}

/// Guards against a slot that stays lost with the release of its grant.
#[test]
fn lost_release() {
    let mut owner = full_owner(START);
    // The host is told again of its grants, and releases those that it does not hold.
    assert_eq!(granted(&owner.tick(START + 250, |_| 0)), [0, 1, 2]);
    assert!(owner.tick(START + 260, |_| 0).is_empty());
    owner.tick(START + 2_999, |_| 0);
    assert_eq!(owner.granted() as u64, GRANTED);
    owner.tick(START + 3_000, |_| 0);
    assert_eq!(owner.granted(), 0);
}

/// Guards against slots that stay lost with a host.
#[test]
fn host_gone() {
    let mut owner = full_owner(START);
    let other: Name = "front-2".into();
    owner.acquire(START, (&other, 0), &request(), 0);
    ask(&mut owner, START, 10, &request());
    let replies = owner.host_gone(START, &host());
    assert_eq!(replies.iter().map(|reply| &reply.host).collect::<Vec<_>>(), [&other]);
    assert_eq!((owner.granted(), owner.waiting()), (1, 0));
}

/// Guards against requests that wait for an upstream that has gone.
#[test]
fn upstream_gone() {
    let mut owner = full_owner(START);
    ask(&mut owner, START, 10, &request());
    let replies = owner.forget(&"i-1".into());
    assert!(matches!(replies[0].answer, SlotAnswer::Busy { .. }), "{replies:?}");
    assert_eq!((owner.granted(), owner.waiting()), (0, 0));
}

/// Guards against state that is kept for upstreams without requests.
#[test]
fn idle_state_is_dropped() {
    let mut owner = full_owner(START);
    (0..GRANTED).for_each(|number| drop(release(&mut owner, START, number, SlotEnd::Used)));
    owner.tick(START + 10_001, |_| 0);
    owner.tick(START + 10_002, |_| 0);
    assert_eq!(owner, Owner::default());
}
