//! Source selection at the first start of a deployment, and entry points.

mod selector;

use selector::{START, candidates, status, switch, synced};
use vanetally_fanout::{Action, Event, MAX_DIRECT_READERS, Reason, Source, SourceSelector};
use vanetally_types::Name;

/// At the first start each of 18 hosts saw at most twelve others in the list and read the store itself; of 985, each
/// saw a different part of the others.
#[test]
fn first_start_settles() {
    let mut selector = SourceSelector::new(START, "h1".into(), "z1".into(), true);
    let few = candidates()[..MAX_DIRECT_READERS].to_vec();
    selector.handle(START + 10, Event::Candidates(few.clone()));
    assert_eq!(selector.handle(START + 20, Event::Tick), [Action::FindSource]);
    assert_eq!(selector.handle(START + 240, Event::Tick), [Action::FindSource]);
    assert_eq!(selector.source(), Source::Searching);
    let mut with_all = selector.clone();
    with_all.handle(START + 250, Event::Candidates(candidates()));
    for millis in (260..840).step_by(20) {
        let actions = with_all.handle(START + millis, Event::Tick);
        assert!(matches!(actions[..], [] | [Action::FindSource]), "{actions:?}: the list may grow");
    }
    assert!(matches!(with_all.handle(START + 850, Event::Tick)[..], [Action::Subscribe(_), ..]));
    assert_eq!(selector.handle(START + 620, Event::Tick), [switch(Source::Store, Reason::Order)]);
}

/// The first host of a domain that starts reads the store; the others subscribe to it before they know any host, and
/// wait while it answers.
#[test]
fn entry_point() {
    let mut first = SourceSelector::new(START, "h1".into(), "z1".into(), true);
    assert_eq!(first.handle(START, Event::Tick), [Action::FindSource]);
    let actions = first.handle(START + 10, Event::EntryClaimed);
    assert_eq!(actions, [switch(Source::Store, Reason::Order)]);
    let mut other = SourceSelector::new(START, "h2".into(), "z1".into(), true);
    assert_eq!(other.handle(START, Event::Tick), [Action::FindSource]);
    let first: Name = "h1".into();
    let actions = other.handle(START + 10, Event::EntryFound(first.clone()));
    assert_eq!(actions, [Action::Subscribe(first.clone())]);
    other.handle(START + 20, status(&first, None));
    for millis in (40..1_400).step_by(20) {
        assert_eq!(other.handle(START + millis, Event::Tick), []);
    }
    let actions = other.handle(START + 1_400, synced(&first, Some(5)));
    assert_eq!(actions, [switch(Source::Host(first), Reason::Order)]);
}

/// The entry point does not answer: another host is looked for.
#[test]
fn silent_entry_point() {
    let mut selector = SourceSelector::new(START, "h1".into(), "z1".into(), false);
    assert_eq!(selector.handle(START, Event::Tick), [Action::FindSource]);
    selector.handle(START + 10, Event::EntryFound("h2".into()));
    assert_eq!(selector.handle(START + 200, Event::Tick), []);
    assert_eq!(selector.handle(START + 280, Event::Tick), [Action::FindSource]);
}
