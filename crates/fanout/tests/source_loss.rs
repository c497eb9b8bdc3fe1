//! Replacement of a silent, stale or leaving source.

mod selector;

use selector::{
    START, leaving, new_selector, order, other_aggregator, root, status, subscribed, switch, synced,
};
use vanetally_fanout::{Action, Event, Path, Reason, Source};
use vanetally_types::Name;

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
