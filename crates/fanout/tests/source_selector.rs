//! Where a host reads store data from.

mod selector;

use selector::{
    START, candidates, last_in_order, leaving, new_selector, order, other_aggregator, root, status,
    subscribed, switch, synced,
};
use std::collections::BTreeSet;
use vanetally_fanout::{Action, Event, MAX_DIRECT_READERS, Reason, Source, SourceSelector};

#[test]
fn lists_hosts_first() {
    let mut selector = SourceSelector::new(START, "h1".into(), "z1".into(), false);
    assert_eq!(selector.handle(START, Event::Tick), [Action::FindSource]);
    assert_eq!(selector.source(), Source::Searching);
    assert_eq!(selector.handle(START + 100, Event::Tick), []);
    assert_eq!(selector.handle(START + 200, Event::Tick), [Action::FindSource]);
}

/// A host that finds no other host reads the store itself.
#[test]
fn lone_host_reads_store() {
    let mut selector = SourceSelector::new(START, "h1".into(), "z1".into(), false);
    let switched = (0..100u64).map(|n| n * 20).find(|at| {
        let actions = selector.handle(START + *at, Event::Tick);
        actions.contains(&switch(Source::Store, Reason::NoAnswer))
    });
    assert!(switched.is_some_and(|at| at <= 1_200), "{switched:?}");
}

#[test]
fn root_reads_store() {
    let mut selector =
        new_selector(&root(), if other_aggregator().1 == "z1".into() { "z2" } else { "z1" });
    assert_eq!(selector.handle(START, Event::Tick), [switch(Source::Store, Reason::Order)]);
    assert!(selector.is_aggregator());
    assert_eq!(selector.handle(START + 20, Event::Tick), []);
}

/// One host reads the store for all failure domains.
#[test]
fn aggregator_subscribes_to_root() {
    let (me, domain) = other_aggregator();
    let mut selector = new_selector(&me, &domain);
    assert_eq!(selector.handle(START, Event::Tick)[0], Action::Subscribe(root()));
    selector.handle(START, synced(&root(), Some(0)));
    assert_eq!(selector.source(), Source::Host(root()));
    assert!(selector.is_aggregator(), "it still sums up the loads of its domain");
}

#[test]
fn few_hosts_read_store() {
    let mut selector = SourceSelector::new(START, "h1".into(), "z1".into(), false);
    selector.handle(START, Event::Candidates(candidates()[..MAX_DIRECT_READERS].to_vec()));
    assert_eq!(selector.handle(START, Event::Tick), [switch(Source::Store, Reason::Order)]);
}

/// When the store dropped the keys of eleven of 23 hosts at once, the remaining twelve counted as few and all of them
/// read the store.
#[test]
fn fleet_remains() {
    let mut selector = subscribed();
    let mut remaining = candidates();
    remaining.truncate(MAX_DIRECT_READERS - 2);
    assert!(remaining.iter().any(|candidate| candidate.host == order()[0]) || remaining.len() > 6);
    selector.handle(START + 10, Event::Candidates(remaining));
    let actions = selector.handle(START + 20, Event::Tick);
    assert!(!actions.iter().any(|action| matches!(action, Action::Switch { .. })), "{actions:?}");
    selector.handle(START + 30, Event::Candidates(candidates()[..MAX_DIRECT_READERS / 2].to_vec()));
    assert_eq!(selector.handle(START + 40, Event::Tick), [Action::Probe]);
}

#[test]
fn subscription_retried() {
    let mut selector = subscribed();
    let second = &order()[1];
    selector.handle(START + 10, leaving(&order()[0]));
    assert_eq!(selector.handle(START + 20, Event::Tick), [Action::Subscribe(second.clone())]);
    selector.handle(START + 400, leaving(&order()[0]));
    assert_eq!(selector.handle(START + 420, Event::Tick), []);
    assert_eq!(selector.handle(START + 600, Event::Tick), [Action::Subscribe(second.clone())]);
}

/// A host on a slow link requested all data of its aggregator twice a second; the responses kept its link full, and it
/// detected leaving upstreams 5.6 s late.
#[test]
fn retry_interval_doubles() {
    let mut selector = subscribed();
    let mut times = Vec::new();
    for at in (0..20_000).step_by(100) {
        selector.handle(START + at, leaving(&order()[0]));
        if !selector.handle(START + at, Event::Tick).is_empty() {
            times.push(at);
        }
    }
    assert_eq!(times, [0, 500, 1_500, 3_500, 7_500, 15_500]);
}

/// A host without a source does not wait for a host that does not answer.
#[test]
fn silent_host_skipped() {
    let mut selector = last_in_order();
    selector.handle(START, Event::Tick);
    assert_eq!(selector.handle(START + 240, Event::Tick).len(), 1, "only the listing");
    let again = selector.handle(START + 260, Event::Tick);
    assert_eq!(again, [Action::Subscribe(order()[0].clone())], "it may be starting as well");
    let next = selector.handle(START + 520, Event::Tick);
    assert!(next.contains(&Action::Subscribe(order()[1].clone())), "{next:?}");
}

/// A host that has lost its source tries each of the others only once, since none of them is just starting.
#[test]
fn no_retry_after_loss() {
    let mut selector = subscribed();
    let order = order();
    assert_eq!(selector.handle(START + 620, Event::Tick), [Action::Subscribe(order[1].clone())]);
    assert_eq!(selector.handle(START + 880, Event::Tick), [Action::Subscribe(order[2].clone())]);
}

/// A host that has sent its status is waited for: its data may be in transit on a slow link.
#[test]
fn slow_host_waited_for() {
    let mut selector = last_in_order();
    selector.handle(START, Event::Tick);
    selector.handle(START + 40, status(&order()[0], None));
    let is_subscribe = |action: &Action| matches!(action, Action::Subscribe(_));
    assert!(!selector.handle(START + 400, Event::Tick).iter().any(is_subscribe));
}

/// A host that stops keeps its key for a while. Hosts that still tried to subscribe to it read the store meanwhile.
#[test]
fn leaving_host_not_tried() {
    let mut selector = last_in_order();
    selector.handle(START, Event::Tick);
    selector.handle(START + 5, leaving(&order()[0]));
    let next = selector.handle(START + 20, Event::Tick);
    assert_eq!(next, [Action::Subscribe(order()[1].clone())]);
}

#[test]
fn unrequested_data_ignored() {
    let mut selector = last_in_order();
    assert_eq!(selector.handle(START, synced(&"h-other".into(), Some(0))), []);
    assert_eq!(selector.source(), Source::Searching);
}

/// A host with subscribers and a source in its own domain is a relay: it reports to its source, as before.
#[test]
fn relay_is_no_aggregator() {
    let mut selector = subscribed();
    assert!(!selector.is_aggregator());
    selector.handle(START + 10, Event::Subscribers(BTreeSet::from(["h-other".into()])));
    assert!(!selector.is_aggregator());
    assert_eq!(selector.handle(START + 20, Event::Tick), []);
    assert_eq!(selector.source(), Source::Host(order()[0].clone()));
}

/// A host that reads the store sums up loads, with subscribers or without.
#[test]
fn reader_is_aggregator() {
    let mut selector = subscribed();
    selector.handle(START + 700, Event::Tick);
    selector.handle(START + 710, Event::Subscribers(BTreeSet::from([order()[1].clone()])));
    selector.handle(START + 730, Event::Tick);
    assert_eq!(selector.source(), Source::Store);
    assert!(selector.is_aggregator());
    selector.handle(START + 740, Event::Subscribers(BTreeSet::new()));
    assert!(selector.is_aggregator());
}

/// A host does not subscribe to its own subscriber: both would receive nothing.
#[test]
fn no_mutual_subscription() {
    let mut selector = subscribed();
    let order = order();
    selector.handle(START + 10, Event::Subscribers(BTreeSet::from([order[1].clone()])));
    let actions = selector.handle(START + 700, Event::Tick);
    assert_eq!(
        actions,
        [Action::Unsubscribe(order[0].clone()), switch(Source::Store, Reason::Silent)]
    );
}
