//! The asking host's side.

mod support;

use support::{START, request};
use vanetally_slots::{Client, Received, SlotAnswer};
use vanetally_types::Name;

fn owner() -> Name {
    "front-9".into()
}

/// Guards against a slot that stays lost because its grant arrives after the request has ended.
#[test]
fn late_grant() {
    let mut client = Client::new(7);
    let number = client.request(START, 1, &owner(), &request());
    let closed = client.close(START, 1).expect("it was open");
    assert_eq!((closed.number, closed.owner), (number, owner()));
    let received = client.answered(START, &owner(), number, SlotAnswer::Granted);
    assert_eq!(received, Received::Unneeded);
    assert_eq!(client.close(START, 1), None);
}

/// Guards against a request that is sent twice because its grant came twice.
#[test]
fn doubled_grant() {
    let mut client = Client::new(0);
    let number = client.request(START, 1, &owner(), &request());
    let grant =
        |client: &mut Client<u32>| client.answered(START, &owner(), number, SlotAnswer::Granted);
    assert_eq!(grant(&mut client), Received::Decided(1, SlotAnswer::Granted));
    assert_eq!(grant(&mut client), Received::Nothing);
}

/// Guards against requests that wait for an owner that does not answer.
#[test]
fn silent_owner() {
    let mut client = Client::new(0);
    client.request(START, 1, &owner(), &request());
    assert!(client.take_overdue(START + 40).unanswered.is_empty());
    let unanswered = client.take_overdue(START + 41).unanswered;
    assert_eq!(unanswered.iter().map(|closed| closed.key).collect::<Vec<u32>>(), [1]);
}

/// Guards against requests that give an owner up although it lives: one whose slot is overdue asks
/// again, and waits on if it is answered.
#[test]
fn overdue_slot() {
    let mut client = Client::new(0);
    let number = client.request(START, 1, &owner(), &request());
    let queued = SlotAnswer::Queued { expected_ms: 100 };
    assert_eq!(client.answered(START, &owner(), number, queued), Received::Nothing);
    assert!(client.take_overdue(START + 140).repeats.is_empty());
    let repeats = client.take_overdue(START + 141).repeats;
    assert_eq!((repeats[0].number, repeats[0].request.wait_ms), (number, 1_000 - 141));
    client.answered(START + 143, &owner(), number, queued);
    assert!(client.take_overdue(START + 200).unanswered.is_empty());
    client.take_overdue(START + 300);
    let unanswered = client.take_overdue(START + 341).unanswered;
    assert_eq!(unanswered.len(), 1);
}

/// Guards against requests that wait for an owner that is gone; grants stay.
#[test]
fn owner_gone() {
    let mut client = Client::new(0);
    let first = client.request(START, 1, &owner(), &request());
    client.answered(START, &owner(), first, SlotAnswer::Granted);
    client.request(START, 2, &owner(), &request());
    let gone = client.owner_gone(START, &owner());
    assert_eq!(gone.iter().map(|closed| closed.key).collect::<Vec<u32>>(), [2]);
    assert!(client.close(START, 1).is_some());
}
