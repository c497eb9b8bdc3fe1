//! From whom a host hears what lies in the store.

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

/// The hosts of the first domain in the order in which they are asked, as one of the others sees it.
fn order() -> Vec<Name> {
    let mut left: Vec<Candidate> =
        candidates().into_iter().filter(|candidate| &*candidate.domain == "z1").collect();
    let far = candidates().into_iter().filter(|candidate| &*candidate.domain == "z2");
    let far: Vec<Candidate> = far.collect();
    let mut order = Vec::new();
    while !left.is_empty() {
        let all: Vec<Candidate> = left.iter().chain(&far).cloned().collect();
        // Few are all aggregators: others fill the list up.
        let padding = (0..HOSTS).map(|number| Candidate {
            host: format!("pad{number}").into(),
            domain: "z3".into(),
            capacity: 1,
        });
        let all: Vec<Candidate> = all.into_iter().chain(padding).collect();
        let first = vanetally_fanout::aggregators(&all);
        let first = first.into_iter().find(|host| left.iter().any(|c| c.host == **host));
        let first = first.unwrap().clone();
        left.retain(|candidate| candidate.host != first);
        order.push(first);
    }
    order
}

fn root() -> Name {
    vanetally_fanout::root(&candidates()).unwrap().clone()
}

/// The aggregator that is not the root.
fn other_aggregator() -> (Name, Name) {
    let all = candidates();
    let aggregators = vanetally_fanout::aggregators(&all);
    let host = aggregators.into_iter().find(|host| **host != root()).unwrap().clone();
    let domain = all.into_iter().find(|candidate| candidate.host == host).unwrap().domain;
    (host, domain)
}

fn host(me: &Name, domain: &str) -> SourceSelector {
    let mut follow = SourceSelector::new(START, me.clone(), domain.into(), false);
    follow.handle(START, Event::Candidates(candidates()));
    follow
}

/// A host of the first domain that comes last in its order.
fn follower() -> SourceSelector {
    host(order().last().unwrap(), "z1")
}

/// The same, and it hears from the first.
fn subscribed() -> SourceSelector {
    let mut follow = follower();
    let first = order()[0].clone();
    assert!(follow.handle(START, Event::Tick).contains(&Action::Subscribe(first.clone())));
    let actions = follow.handle(START, synced(&first, Some(0)));
    assert_eq!(actions, [switch(Source::Host(first), Reason::Order)]);
    follow
}

fn switch(to: Source, reason: Reason) -> Action {
    Action::Switch { to, reason }
}

fn synced(from: &Name, age_ms: Option<u64>) -> Event {
    Event::Synced { from: from.clone(), age_ms }
}

fn told(from: &Name, age_ms: Option<u64>) -> Event {
    Event::Status { from: from.clone(), age_ms, is_leaving: false }
}

fn leaving(from: &Name) -> Event {
    Event::Status { from: from.clone(), age_ms: Some(0), is_leaving: true }
}

const START: Tick = Tick(1_000_000);

#[test]
fn survey_first() {
    let mut follow = SourceSelector::new(START, "h1".into(), "z1".into(), false);
    assert_eq!(follow.handle(START, Event::Tick), [Action::ListHosts]);
    assert_eq!(follow.source(), Source::Searching);
    assert_eq!(follow.handle(START + 100, Event::Tick), []);
    assert_eq!(follow.handle(START + 200, Event::Tick), [Action::ListHosts]);
}

/// A host that finds nobody is not left without: it reads the store itself.
#[test]
fn nobody_reads_store() {
    let mut follow = SourceSelector::new(START, "h1".into(), "z1".into(), false);
    let switched = (0..100u64).map(|n| n * 20).find(|at| {
        let actions = follow.handle(START + *at, Event::Tick);
        actions.contains(&switch(Source::Store, Reason::NoAnswer))
    });
    assert!(switched.is_some_and(|at| at <= 1_200), "{switched:?}");
}

#[test]
fn root_reads_store() {
    let mut follow = host(&root(), if other_aggregator().1 == "z1".into() { "z2" } else { "z1" });
    assert_eq!(follow.handle(START, Event::Tick), [switch(Source::Store, Reason::Order)]);
    assert!(follow.is_aggregator());
    assert_eq!(follow.handle(START + 20, Event::Tick), []);
}

/// One host reads the store for all failure domains.
#[test]
fn aggregator_hears_root() {
    let (me, domain) = other_aggregator();
    let mut follow = host(&me, &domain);
    assert_eq!(follow.handle(START, Event::Tick)[0], Action::Subscribe(root()));
    follow.handle(START, synced(&root(), Some(0)));
    assert_eq!(follow.source(), Source::Host(root()));
    assert!(follow.is_aggregator(), "it gathers the loads of its domain all the same");
}

#[test]
fn few_read_store() {
    let mut follow = SourceSelector::new(START, "h1".into(), "z1".into(), false);
    follow.handle(START, Event::Candidates(candidates()[..MAX_DIRECT_READERS].to_vec()));
    assert_eq!(follow.handle(START, Event::Tick), [switch(Source::Store, Reason::Order)]);
}

/// Found in a played day: the store took the keys of eleven of 23 hosts away at once, and all the others
/// read it for themselves, since twelve hosts are few.
#[test]
fn fleet_stays() {
    let mut follow = subscribed();
    let mut left = candidates();
    left.truncate(MAX_DIRECT_READERS - 2);
    assert!(left.iter().any(|candidate| candidate.host == order()[0]) || left.len() > 6);
    follow.handle(START + 10, Event::Candidates(left));
    let actions = follow.handle(START + 20, Event::Tick);
    assert!(!actions.iter().any(|action| matches!(action, Action::Switch { .. })), "{actions:?}");
    follow.handle(START + 30, Event::Candidates(candidates()[..MAX_DIRECT_READERS / 2].to_vec()));
    assert_eq!(follow.handle(START + 40, Event::Tick), [Action::Probe]);
}

#[test]
fn subscription_repeated() {
    let mut follow = subscribed();
    let second = &order()[1];
    follow.handle(START + 10, leaving(&order()[0]));
    assert_eq!(follow.handle(START + 20, Event::Tick), [Action::Subscribe(second.clone())]);
    follow.handle(START + 400, leaving(&order()[0]));
    assert_eq!(follow.handle(START + 420, Event::Tick), []);
    assert_eq!(follow.handle(START + 600, Event::Tick), [Action::Subscribe(second.clone())]);
}

/// Found by a hunt: a host on a slow link asked twice a second for all that its aggregator knows; the
/// answers filled its link for the rest of the day, and it heard of leaving upstreams 5.6 s late.
#[test]
fn repeated_ever_more_rarely() {
    let mut follow = subscribed();
    let mut times = Vec::new();
    for at in (0..20_000).step_by(100) {
        follow.handle(START + at, leaving(&order()[0]));
        if !follow.handle(START + at, Event::Tick).is_empty() {
            times.push(at);
        }
    }
    assert_eq!(times, [0, 500, 1_500, 3_500, 7_500, 15_500]);
}

/// A host without a source does not wait for one that says nothing.
#[test]
fn silent_passed_over() {
    let mut follow = follower();
    follow.handle(START, Event::Tick);
    assert_eq!(follow.handle(START + 240, Event::Tick).len(), 1, "only the survey");
    let again = follow.handle(START + 260, Event::Tick);
    assert_eq!(again, [Action::Subscribe(order()[0].clone())], "it may be starting as well");
    let next = follow.handle(START + 520, Event::Tick);
    assert!(next.contains(&Action::Subscribe(order()[1].clone())), "{next:?}");
}

/// A host that has lost its source asks each of the others once: all of them were there before.
#[test]
fn lost_asks_once() {
    let mut follow = subscribed();
    let order = order();
    assert_eq!(follow.handle(START + 620, Event::Tick), [Action::Subscribe(order[1].clone())]);
    assert_eq!(follow.handle(START + 880, Event::Tick), [Action::Subscribe(order[2].clone())]);
}

/// One that has said something is waited for: all that it knows may be on its way on a slow link.
#[test]
fn slow_waited_for() {
    let mut follow = follower();
    follow.handle(START, Event::Tick);
    follow.handle(START + 40, told(&order()[0], None));
    let asked = |action: &Action| matches!(action, Action::Subscribe(_));
    assert!(!follow.handle(START + 400, Event::Tick).iter().any(asked));
}

/// Found by counting calls to the store: a host that stops keeps its key for a while, and whoever asked
/// it in vain read the store meanwhile.
#[test]
fn leaving_not_asked_again() {
    let mut follow = follower();
    follow.handle(START, Event::Tick);
    follow.handle(START + 5, leaving(&order()[0]));
    let next = follow.handle(START + 20, Event::Tick);
    assert_eq!(next, [Action::Subscribe(order()[1].clone())]);
}

#[test]
fn unasked_ignored() {
    let mut follow = follower();
    assert_eq!(follow.handle(START, synced(&"h-other".into(), Some(0))), []);
    assert_eq!(follow.source(), Source::Searching);
}

/// A silent source is left within 0.6 s for the next host, not for the store: what is known stays until that
/// one has answered.
#[test]
fn silence_left() {
    let mut follow = subscribed();
    let order = order();
    follow.handle(START + 500, told(&order[0], Some(100)));
    assert_eq!(follow.handle(START + 1_000, Event::Tick), []);
    let actions = follow.handle(START + 1_120, Event::Tick);
    assert_eq!(actions, [Action::Subscribe(order[1].clone())]);
    assert_eq!(follow.source(), Source::Host(order[0].clone()));
    let actions = follow.handle(START + 1_140, synced(&order[1], Some(5)));
    let expected = [
        Action::Unsubscribe(order[0].clone()),
        switch(Source::Host(order[1].clone()), Reason::Silent),
    ];
    assert_eq!(actions, expected);
}

/// A host that did not run hears first what was told meanwhile.
#[test]
fn own_stall() {
    let mut follow = subscribed();
    let order = order();
    follow.handle(START + 900, Event::Stalled);
    assert_eq!(follow.handle(START + 900, Event::Tick), []);
    follow.handle(START + 905, told(&order[0], Some(1_200)));
    assert_eq!(follow.handle(START + 920, Event::Tick), [], "its source stalled as well");
    follow.handle(START + 1_000, told(&order[0], Some(10)));
    assert_eq!(follow.handle(START + 1_220, Event::Tick), []);
    assert_eq!(follow.source(), Source::Host(order[0].clone()));
}

/// One that stalls again and again still leaves a silent source.
#[test]
fn stalled_often() {
    let mut follow = subscribed();
    let mut left = None;
    for at in (300..3_000).step_by(300).map(|ms| START + ms) {
        follow.handle(at, Event::Stalled);
        let actions = follow.handle(at, Event::Tick);
        if actions.contains(&Action::Subscribe(order()[1].clone())) {
            left.get_or_insert(at);
        }
    }
    assert!(left.is_some_and(|at| at <= START + 1_500), "{left:?}");
}

/// The next host in the order takes over from a silent one at once.
#[test]
fn next_takes_over() {
    let mut follow = host(&order()[1], "z1");
    follow.handle(START, Event::Tick);
    follow.handle(START, synced(&order()[0], Some(0)));
    let actions = follow.handle(START + 620, Event::Tick);
    let is_root = root() == order()[0];
    let taken = actions.contains(&switch(Source::Store, Reason::Silent));
    let asked = actions.iter().any(|action| matches!(action, Action::Subscribe(_)));
    assert!(if is_root { taken || asked } else { asked }, "{actions:?}");
}

/// What the store has not confirmed for long is doubted: another host is asked, and the present one is kept
/// unless that one knows something newer.
#[test]
fn stale_asks_next() {
    let mut follow = subscribed();
    let order = order();
    follow.handle(START + 100, told(&order[0], Some(1_300)));
    assert_eq!(follow.handle(START + 120, Event::Tick), [Action::Subscribe(order[1].clone())]);
    assert_eq!(follow.handle(START + 140, synced(&order[1], Some(5_000))), []);
    assert_eq!(follow.source(), Source::Host(order[0].clone()));
    // The other one has heard from the store meanwhile.
    let again = follow.handle(START + 300, told(&order[1], Some(10)));
    assert_eq!(again, [Action::Subscribe(order[1].clone())]);
    follow.handle(START + 310, synced(&order[1], Some(20)));
    assert_eq!(follow.source(), Source::Host(order[1].clone()));
}

/// What is known has been stale for so long that those before this host in the order can be no help: it looks by itself,
/// once, reads the store if that answers, and says so to all as soon as it has read.
#[test]
fn looks_by_itself() {
    let mut follow = subscribed();
    let order = order();
    follow.handle(START + 100, told(&order[0], Some(5_000)));
    let looked = follow.handle(START + 120, Event::Tick);
    assert_eq!(looked, [Action::Probe, Action::Subscribe(order[1].clone())]);
    assert!(!follow.handle(START + 140, Event::Tick).contains(&Action::Probe), "once");
    let taken = follow.handle(START + 160, Event::Probed(true));
    assert_eq!(taken[1..], [switch(Source::Store, Reason::Stale)]);
    assert_eq!(follow.handle(START + 170, Event::StoreConfirmed(None)), []);
    assert_eq!(follow.handle(START + 180, Event::StoreConfirmed(Some(10))), [Action::Announce]);
    assert_eq!(follow.handle(START + 200, Event::StoreConfirmed(Some(10))), [], "once");
}

/// The source was stale and knew what is new again: when it is stale once more the host looks at once, not when its last
/// look is long ago.
#[test]
fn looks_again() {
    let mut follow = subscribed();
    let order = order();
    follow.handle(START + 100, told(&order[0], Some(5_000)));
    assert!(follow.handle(START + 120, Event::Tick).contains(&Action::Probe));
    follow.handle(START + 140, told(&order[0], Some(0)));
    follow.handle(START + 160, Event::Tick);
    follow.handle(START + 700, told(&order[0], Some(5_000)));
    assert!(follow.handle(START + 720, Event::Tick).contains(&Action::Probe));
}

/// A host whose knowledge came by way of this one is no source, however fresh; one that came another way is.
#[test]
fn no_circles() {
    let mut follow = subscribed();
    let order = order();
    let way = |by: &[&Name]| by.iter().map(|host| vanetally_fanout::hop(host)).collect::<Path>();
    follow.handle(START + 100, told(&order[0], Some(1_300)));
    let path = way(&[&order[2], follow.me(), &order[1]]);
    follow.handle(START + 110, Event::Path { from: order[1].clone(), path });
    follow.handle(START + 120, Event::Tick);
    assert_eq!(follow.handle(START + 140, synced(&order[1], Some(0))), []);
    assert_eq!(follow.source(), Source::Host(order[0].clone()));
    let path = way(&[&order[2], &order[1]]);
    follow.handle(START + 150, Event::Path { from: order[1].clone(), path });
    let again = follow.handle(START + 160, told(&order[1], Some(0)));
    assert_eq!(again, [Action::Subscribe(order[1].clone())]);
    follow.handle(START + 170, synced(&order[1], Some(0)));
    assert_eq!(follow.source(), Source::Host(order[1].clone()));
}

/// Only who is next in the order asks the store whether it answers, one probe at a time.
#[test]
fn next_probes() {
    let (me, domain) = other_aggregator();
    let mut follow = host(&me, &domain);
    follow.handle(START, Event::Tick);
    follow.handle(START, synced(&root(), Some(0)));
    follow.handle(START + 100, told(&root(), Some(1_300)));
    assert_eq!(follow.handle(START + 120, Event::Tick), [Action::Probe]);
    assert_eq!(follow.handle(START + 140, Event::Tick), [], "one probe at a time");
    assert_eq!(follow.handle(START + 160, Event::Probed(false)), []);
    assert_eq!(follow.source(), Source::Host(root()));
    follow.handle(START + 180, Event::Probed(true));
    assert_eq!(follow.source(), Source::Store);
}

#[test]
fn never_confirmed_doubted() {
    let mut follow = subscribed();
    follow.handle(START + 100, told(&order()[0], None));
    let actions = follow.handle(START + 120, Event::Tick);
    assert_eq!(actions, [Action::Subscribe(order()[1].clone())]);
}

#[test]
fn fresh_again() {
    let (me, domain) = other_aggregator();
    let mut follow = host(&me, &domain);
    follow.handle(START, Event::Tick);
    follow.handle(START, synced(&root(), Some(0)));
    follow.handle(START + 100, told(&root(), Some(5_000)));
    follow.handle(START + 120, Event::Tick);
    follow.handle(START + 200, told(&root(), Some(100)));
    assert_eq!(follow.handle(START + 220, Event::Probed(true)), []);
    assert_eq!(follow.source(), Source::Host(root()));
}

/// The root that is cut off from the store hears from the next one that reads it.
#[test]
fn cut_off_root() {
    let (other, _) = other_aggregator();
    let domain = if other_aggregator().1 == "z1".into() { "z2" } else { "z1" };
    let mut follow = host(&root(), domain);
    follow.handle(START, Event::Tick);
    follow.handle(START + 10, Event::StoreConfirmed(Some(0)));
    assert_eq!(follow.handle(START + 1_000, Event::Tick), []);
    let asked = follow.handle(START + 1_200, Event::Tick);
    assert!(matches!(&asked[..], [Action::Subscribe(_)]), "{asked:?}");
    let [Action::Subscribe(next)] = &asked[..] else { return };
    assert_eq!(follow.handle(START + 1_210, synced(next, Some(1_200))), [], "no better: {other}");
    follow.handle(START + 1_300, told(next, Some(10)));
    let actions = follow.handle(START + 1_310, synced(next, Some(20)));
    assert_eq!(actions, [switch(Source::Host(next.clone()), Reason::Stale)]);
}

#[test]
fn leaving_left() {
    let mut follow = subscribed();
    let order = order();
    follow.handle(START + 100, leaving(&order[0]));
    let next = follow.handle(START + 120, Event::Tick);
    assert_eq!(next, [Action::Subscribe(order[1].clone())]);
    let actions = follow.handle(START + 140, synced(&order[1], Some(5)));
    let expected = [
        Action::Unsubscribe(order[0].clone()),
        switch(Source::Host(order[1].clone()), Reason::Leaving),
    ];
    assert_eq!(actions, expected);
}

/// What was lost with a link is asked for again; the store is left alone.
#[test]
fn missed_asks_difference() {
    let mut follow = subscribed();
    let first = &order()[0];
    let actions = follow.handle(START + 100, Event::ChangesMissed);
    assert_eq!(actions, [Action::Subscribe(first.clone())]);
    assert_eq!(follow.handle(START + 120, Event::ChangesMissed), [], "it was asked");
    assert_eq!(follow.handle(START + 140, synced(first, Some(0))), []);
    assert_eq!(follow.source(), Source::Host(first.clone()));
}

/// Who is asked passes on what it hears, and gathers loads.
#[test]
fn asked_passes_on() {
    let mut follow = subscribed();
    assert!(!follow.is_aggregator());
    follow.handle(START + 10, Event::Subscribers(BTreeSet::from(["h-other".into()])));
    assert!(follow.is_aggregator());
    assert_eq!(follow.handle(START + 20, Event::Tick), []);
    assert_eq!(follow.source(), Source::Host(order()[0].clone()));
}

/// Two hosts that hear from each other would hear nothing.
#[test]
fn no_circle() {
    let mut follow = subscribed();
    let order = order();
    follow.handle(START + 10, Event::Subscribers(BTreeSet::from([order[1].clone()])));
    let actions = follow.handle(START + 700, Event::Tick);
    assert_eq!(
        actions,
        [Action::Unsubscribe(order[0].clone()), switch(Source::Store, Reason::Silent)]
    );
}

/// Found by counting calls to the store: at the first start each of 18 hosts saw at most twelve others in the
/// list and read everything.
#[test]
fn first_start_settles() {
    let mut follow = SourceSelector::new(START, "h1".into(), "z1".into(), true);
    let few = candidates()[..MAX_DIRECT_READERS].to_vec();
    follow.handle(START + 10, Event::Candidates(few.clone()));
    assert_eq!(follow.handle(START + 20, Event::Tick), [Action::ListHosts]);
    assert_eq!(follow.handle(START + 240, Event::Tick), [Action::ListHosts]);
    assert_eq!(follow.source(), Source::Searching);
    let mut all = follow.clone();
    all.handle(START + 250, Event::Candidates(candidates()));
    assert!(matches!(all.handle(START + 260, Event::Tick)[..], [Action::Subscribe(_), ..]));
    assert_eq!(follow.handle(START + 420, Event::Tick), [switch(Source::Store, Reason::Order)]);
}
