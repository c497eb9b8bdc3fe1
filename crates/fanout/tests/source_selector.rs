//! Where a host reads store data from.

use std::collections::BTreeSet;
use vanetally_fanout::{
    Action, Candidate, Event, MAX_DIRECT_READERS, Path, Reason, Source, SourceSelector,
};
use vanetally_types::{Name, Tick};

const DOMAINS: [&str; 2] = ["z1", "z2"];
const HOSTS: usize = MAX_DIRECT_READERS + 8;

fn candidates() -> Vec<Candidate> {
    let one = |number: usize| Candidate {
        host: format!("h{number}").into(),
        domain: DOMAINS[number % DOMAINS.len()].into(),
        capacity: 12,
    };
    (0..HOSTS).map(one).collect()
}

/// Returns the hosts of the first domain in the order of preference.
fn order() -> Vec<Name> {
    let mut remaining: Vec<Candidate> =
        candidates().into_iter().filter(|candidate| &*candidate.domain == "z1").collect();
    let other_domain = candidates().into_iter().filter(|candidate| &*candidate.domain == "z2");
    let other_domain: Vec<Candidate> = other_domain.collect();
    let mut order = Vec::new();
    while !remaining.is_empty() {
        let all: Vec<Candidate> = remaining.iter().chain(&other_domain).cloned().collect();
        // A short list would make all hosts aggregators, so hosts of a third domain are added.
        let padding = (0..HOSTS).map(|number| Candidate {
            host: format!("pad{number}").into(),
            domain: "z3".into(),
            capacity: 1,
        });
        let all: Vec<Candidate> = all.into_iter().chain(padding).collect();
        let first = vanetally_fanout::aggregators(&all);
        let first = first.into_iter().find(|host| remaining.iter().any(|c| c.host == **host));
        let first = first.unwrap().clone();
        remaining.retain(|candidate| candidate.host != first);
        order.push(first);
    }
    order
}

fn root() -> Name {
    vanetally_fanout::root(&candidates()).unwrap().clone()
}

/// Returns the aggregator that is not the root, and its domain.
fn other_aggregator() -> (Name, Name) {
    let all = candidates();
    let aggregators = vanetally_fanout::aggregators(&all);
    let host = aggregators.into_iter().find(|host| **host != root()).unwrap().clone();
    let domain = all.into_iter().find(|candidate| candidate.host == host).unwrap().domain;
    (host, domain)
}

fn new_selector(me: &Name, domain: &str) -> SourceSelector {
    let mut selector = SourceSelector::new(START, me.clone(), domain.into(), false);
    selector.handle(START, Event::Candidates(candidates()));
    selector
}

/// Returns the selector of the host that comes last in the order of the first domain.
fn last_in_order() -> SourceSelector {
    new_selector(order().last().unwrap(), "z1")
}

/// Returns the same selector after it has subscribed to the first host.
fn subscribed() -> SourceSelector {
    let mut selector = last_in_order();
    let first = order()[0].clone();
    assert!(selector.handle(START, Event::Tick).contains(&Action::Subscribe(first.clone())));
    let actions = selector.handle(START, synced(&first, Some(0)));
    assert_eq!(actions, [switch(Source::Host(first), Reason::Order)]);
    selector
}

fn switch(to: Source, reason: Reason) -> Action {
    Action::Switch { to, reason }
}

fn synced(from: &Name, age_ms: Option<u64>) -> Event {
    Event::Synced { from: from.clone(), age_ms }
}

fn status(from: &Name, age_ms: Option<u64>) -> Event {
    Event::Status { from: from.clone(), age_ms, is_leaving: false }
}

fn leaving(from: &Name) -> Event {
    Event::Status { from: from.clone(), age_ms: Some(0), is_leaving: true }
}

const START: Tick = Tick(1_000_000);

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

/// After 0.6 s a silent source is replaced by the next host, not by the store. The known data is kept until that host
/// has answered.
#[test]
fn silent_source_replaced() {
    let mut selector = subscribed();
    let order = order();
    selector.handle(START + 500, status(&order[0], Some(100)));
    assert_eq!(selector.handle(START + 1_000, Event::Tick), []);
    let actions = selector.handle(START + 1_120, Event::Tick);
    assert_eq!(actions, [Action::Subscribe(order[1].clone())]);
    assert_eq!(selector.source(), Source::Host(order[0].clone()));
    let actions = selector.handle(START + 1_140, synced(&order[1], Some(5)));
    let expected = [
        Action::Unsubscribe(order[0].clone()),
        switch(Source::Host(order[1].clone()), Reason::Silent),
    ];
    assert_eq!(actions, expected);
}

/// After a stall of its own a host first processes the messages sent meanwhile.
#[test]
fn own_stall() {
    let mut selector = subscribed();
    let order = order();
    selector.handle(START + 900, Event::Stalled);
    assert_eq!(selector.handle(START + 900, Event::Tick), []);
    selector.handle(START + 905, status(&order[0], Some(1_200)));
    assert_eq!(selector.handle(START + 920, Event::Tick), [], "its source stalled as well");
    selector.handle(START + 1_000, status(&order[0], Some(10)));
    assert_eq!(selector.handle(START + 1_220, Event::Tick), []);
    assert_eq!(selector.source(), Source::Host(order[0].clone()));
}

/// A host that stalls repeatedly still replaces a silent source.
#[test]
fn repeated_stalls() {
    let mut selector = subscribed();
    let mut subscribed_at = None;
    for at in (300..3_000).step_by(300).map(|ms| START + ms) {
        selector.handle(at, Event::Stalled);
        let actions = selector.handle(at, Event::Tick);
        if actions.contains(&Action::Subscribe(order()[1].clone())) {
            subscribed_at.get_or_insert(at);
        }
    }
    assert!(subscribed_at.is_some_and(|at| at <= START + 1_500), "{subscribed_at:?}");
}

/// The next host in the order replaces a silent source at once.
#[test]
fn next_takes_over() {
    let mut selector = new_selector(&order()[1], "z1");
    selector.handle(START, Event::Tick);
    selector.handle(START, synced(&order()[0], Some(0)));
    let actions = selector.handle(START + 620, Event::Tick);
    let is_root = root() == order()[0];
    let reads_store = actions.contains(&switch(Source::Store, Reason::Silent));
    let subscribes = actions.iter().any(|action| matches!(action, Action::Subscribe(_)));
    assert!(if is_root { reads_store || subscribes } else { subscribes }, "{actions:?}");
}

/// A host with a stale source subscribes to the next host, and keeps the source unless that host has newer data.
#[test]
fn stale_source_compared() {
    let mut selector = subscribed();
    let order = order();
    selector.handle(START + 100, status(&order[0], Some(1_300)));
    assert_eq!(selector.handle(START + 120, Event::Tick), [Action::Subscribe(order[1].clone())]);
    assert_eq!(selector.handle(START + 140, synced(&order[1], Some(5_000))), []);
    assert_eq!(selector.source(), Source::Host(order[0].clone()));
    // The other host has received newer data meanwhile.
    let again = selector.handle(START + 300, status(&order[1], Some(10)));
    assert_eq!(again, [Action::Subscribe(order[1].clone())]);
    selector.handle(START + 310, synced(&order[1], Some(20)));
    assert_eq!(selector.source(), Source::Host(order[1].clone()));
}

/// A host whose data has been stale for too long no longer waits for the hosts before it in the order: it probes the
/// store once, reads it if it answers, and announces that to all as soon as it has read.
#[test]
fn fallback_probe() {
    let mut selector = subscribed();
    let order = order();
    selector.handle(START + 100, status(&order[0], Some(5_000)));
    let probed = selector.handle(START + 120, Event::Tick);
    assert_eq!(probed, [Action::Probe, Action::Subscribe(order[1].clone())]);
    assert!(!selector.handle(START + 140, Event::Tick).contains(&Action::Probe), "once");
    let switched = selector.handle(START + 160, Event::Probed(true));
    assert_eq!(switched[1..], [switch(Source::Store, Reason::Stale)]);
    assert_eq!(selector.handle(START + 170, Event::StoreConfirmed(None)), []);
    assert_eq!(selector.handle(START + 180, Event::StoreConfirmed(Some(10))), [Action::Announce]);
    assert_eq!(selector.handle(START + 200, Event::StoreConfirmed(Some(10))), [], "once");
}

/// A source that was stale and became fresh again is stale once more: the host probes at once, not only when the
/// interval since its last fallback probe is over.
#[test]
fn fallback_probe_repeated() {
    let mut selector = subscribed();
    let order = order();
    selector.handle(START + 100, status(&order[0], Some(5_000)));
    assert!(selector.handle(START + 120, Event::Tick).contains(&Action::Probe));
    selector.handle(START + 140, status(&order[0], Some(0)));
    selector.handle(START + 160, Event::Tick);
    selector.handle(START + 700, status(&order[0], Some(5_000)));
    assert!(selector.handle(START + 720, Event::Tick).contains(&Action::Probe));
}

/// A host whose data came through this one is not accepted as source, however fresh; with another path it is.
#[test]
fn no_cycle_of_paths() {
    let mut selector = subscribed();
    let order = order();
    let path_of =
        |hosts: &[&Name]| hosts.iter().map(|host| vanetally_fanout::hop(host)).collect::<Path>();
    selector.handle(START + 100, status(&order[0], Some(1_300)));
    let path = path_of(&[&order[2], selector.me(), &order[1]]);
    selector.handle(START + 110, Event::Path { from: order[1].clone(), path });
    selector.handle(START + 120, Event::Tick);
    assert_eq!(selector.handle(START + 140, synced(&order[1], Some(0))), []);
    assert_eq!(selector.source(), Source::Host(order[0].clone()));
    let path = path_of(&[&order[2], &order[1]]);
    selector.handle(START + 150, Event::Path { from: order[1].clone(), path });
    let again = selector.handle(START + 160, status(&order[1], Some(0)));
    assert_eq!(again, [Action::Subscribe(order[1].clone())]);
    selector.handle(START + 170, synced(&order[1], Some(0)));
    assert_eq!(selector.source(), Source::Host(order[1].clone()));
}

/// Only the next host in the order probes the store, one probe at a time.
#[test]
fn next_host_probes() {
    let (me, domain) = other_aggregator();
    let mut selector = new_selector(&me, &domain);
    selector.handle(START, Event::Tick);
    selector.handle(START, synced(&root(), Some(0)));
    selector.handle(START + 100, status(&root(), Some(1_300)));
    assert_eq!(selector.handle(START + 120, Event::Tick), [Action::Probe]);
    assert_eq!(selector.handle(START + 140, Event::Tick), [], "one probe at a time");
    assert_eq!(selector.handle(START + 160, Event::Probed(false)), []);
    assert_eq!(selector.source(), Source::Host(root()));
    selector.handle(START + 180, Event::Probed(true));
    assert_eq!(selector.source(), Source::Store);
}

#[test]
fn never_confirmed_replaced() {
    let mut selector = subscribed();
    selector.handle(START + 100, status(&order()[0], None));
    let actions = selector.handle(START + 120, Event::Tick);
    assert_eq!(actions, [Action::Subscribe(order()[1].clone())]);
}

#[test]
fn fresh_again() {
    let (me, domain) = other_aggregator();
    let mut selector = new_selector(&me, &domain);
    selector.handle(START, Event::Tick);
    selector.handle(START, synced(&root(), Some(0)));
    selector.handle(START + 100, status(&root(), Some(5_000)));
    selector.handle(START + 120, Event::Tick);
    selector.handle(START + 200, status(&root(), Some(100)));
    assert_eq!(selector.handle(START + 220, Event::Probed(true)), []);
    assert_eq!(selector.source(), Source::Host(root()));
}

/// A root that is cut off from the store subscribes to the next host that reads it.
#[test]
fn cut_off_root() {
    let (other, _) = other_aggregator();
    let domain = if other_aggregator().1 == "z1".into() { "z2" } else { "z1" };
    let mut selector = new_selector(&root(), domain);
    selector.handle(START, Event::Tick);
    selector.handle(START + 10, Event::StoreConfirmed(Some(0)));
    assert_eq!(selector.handle(START + 1_000, Event::Tick), []);
    let actions = selector.handle(START + 1_200, Event::Tick);
    assert!(matches!(&actions[..], [Action::Subscribe(_)]), "{actions:?}");
    let [Action::Subscribe(next)] = &actions[..] else { return };
    assert_eq!(selector.handle(START + 1_210, synced(next, Some(1_200))), [], "no better: {other}");
    selector.handle(START + 1_300, status(next, Some(10)));
    let actions = selector.handle(START + 1_310, synced(next, Some(20)));
    assert_eq!(actions, [switch(Source::Host(next.clone()), Reason::Stale)]);
}

#[test]
fn leaving_source_replaced() {
    let mut selector = subscribed();
    let order = order();
    selector.handle(START + 100, leaving(&order[0]));
    let next = selector.handle(START + 120, Event::Tick);
    assert_eq!(next, [Action::Subscribe(order[1].clone())]);
    let actions = selector.handle(START + 140, synced(&order[1], Some(5)));
    let expected = [
        Action::Unsubscribe(order[0].clone()),
        switch(Source::Host(order[1].clone()), Reason::Leaving),
    ];
    assert_eq!(actions, expected);
}

/// Changes that were lost with a link are requested from the source again; the store is not read.
#[test]
fn missed_changes_requested() {
    let mut selector = subscribed();
    let first = &order()[0];
    let actions = selector.handle(START + 100, Event::ChangesMissed);
    assert_eq!(actions, [Action::Subscribe(first.clone())]);
    assert_eq!(selector.handle(START + 120, Event::ChangesMissed), [], "already requested");
    assert_eq!(selector.handle(START + 140, synced(first, Some(0))), []);
    assert_eq!(selector.source(), Source::Host(first.clone()));
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
