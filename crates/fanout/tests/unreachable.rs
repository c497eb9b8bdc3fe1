//! Sources that can't be used yet while all hosts start.

mod selector;

use selector::{START, candidates, status, switch, synced};
use std::collections::BTreeSet;
use vanetally_fanout::{Action, Event, Reason, Source, SourceSelector};
use vanetally_types::Name;

/// The entry point starts later than a host that turns to it: the subscription is sent again as long as the entry point
/// has not answered.
#[test]
fn subscription_repeated() {
    let mut selector = SourceSelector::new(START, "h1".into(), "z1".into(), false);
    let entry: Name = "h2".into();
    assert_eq!(selector.handle(START, Event::Tick), [Action::FindSource]);
    selector.handle(START + 10, Event::EntryFound(entry.clone()));
    let again = selector.handle(START + 40, Event::Unreachable(entry.clone()));
    assert_eq!(again, [Action::Subscribe(entry.clone())]);
    assert_eq!(selector.handle(START + 50, Event::Unreachable("h3".into())), []);
    selector.handle(START + 140, status(&entry, None));
    assert_eq!(selector.handle(START + 160, Event::Unreachable(entry.clone())), []);
    let actions = selector.handle(START + 180, synced(&entry, Some(5)));
    assert_eq!(actions, [switch(Source::Host(entry), Reason::Order)]);
}

/// The next source in the order is still a subscriber of this host, as just after a start: this host gives it time to
/// find another source before it reads the store.
#[test]
fn subscriber_next_in_order() {
    let hosts = candidates();
    for me in hosts.iter().map(|one| one.host.clone()) {
        let domain = hosts.iter().find(|one| one.host == me).unwrap().domain.clone();
        let mut selector = SourceSelector::new(START, me.clone(), domain, false);
        let source = hosts.iter().map(|one| &one.host).rfind(|host| **host != me).unwrap().clone();
        selector.handle(START, Event::EntryFound(source.clone()));
        selector.handle(START + 10, synced(&source, Some(0)));
        let others = hosts.iter().map(|one| one.host.clone()).filter(|host| *host != me);
        let others: BTreeSet<Name> = others.filter(|host| *host != source).collect();
        selector.handle(START + 10, Event::Subscribers(others));
        selector.handle(START + 10, Event::Candidates(hosts.clone()));
        let mut probed = None;
        for millis in (20..2_000).step_by(20) {
            selector.handle(START + millis, status(&source, Some(0)));
            if selector.handle(START + millis, Event::Tick).contains(&Action::Probe) {
                probed.get_or_insert(millis);
            }
        }
        // The root probes at once; a host whose next source is its present one does not probe.
        let is_root = vanetally_fanout::root(&hosts) == Some(&me);
        assert!(probed.is_none_or(|at| is_root || at >= 1_000), "{me} probes after {probed:?} ms");
    }
}
