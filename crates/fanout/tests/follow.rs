//! From whom a host hears what lies in the store.

use vanetally_fanout::{Action, Candidate, Event, FEW_HOSTS, Follow, Source, aggregators};
use vanetally_types::{Name, Tick};

const HOSTS: usize = FEW_HOSTS + 8;

fn candidates() -> Vec<Candidate> {
    let one = |number: usize| Candidate {
        host: format!("h{number}").into(),
        domain: "z1".into(),
        capacity: 12,
    };
    (0..HOSTS).map(one).collect()
}

fn best() -> Name {
    aggregators(&candidates())[0].clone()
}

/// A host that is not the aggregator, and knows all hosts.
fn follower(now: Tick) -> Follow {
    let me = candidates().into_iter().map(|c| c.host).find(|host| *host != best()).unwrap();
    let mut follow = Follow::new(me, "z1".into());
    follow.handle(now, Event::Candidates(candidates()));
    follow
}

/// A host that hears from the aggregator.
fn subscribed(now: Tick) -> Follow {
    let mut follow = follower(now);
    assert_eq!(follow.handle(now, Event::Tick), [Action::Subscribe(best())]);
    let actions = follow.handle(now, Event::Synced { from: best() });
    assert_eq!(actions, [Action::Switch(Source::Aggregator(best()))]);
    follow
}

fn told(age_ms: Option<u64>) -> Event {
    Event::Told { from: best(), age_ms, is_leaving: false }
}

const START: Tick = Tick(1_000_000);

#[test]
fn store_first() {
    assert_eq!(follower(START).source(), Source::Store);
}

#[test]
fn best_reads_store() {
    let mut follow = Follow::new(best(), "z1".into());
    follow.handle(START, Event::Candidates(candidates()));
    assert_eq!(follow.handle(START, Event::Tick), []);
    assert_eq!(follow.source(), Source::Store);
}

#[test]
fn few_read_store() {
    let mut follow = Follow::new("h1".into(), "z1".into());
    follow.handle(START, Event::Candidates(candidates()[..FEW_HOSTS].to_vec()));
    assert_eq!(follow.handle(START, Event::Tick), []);
}

#[test]
fn subscription_repeated() {
    let mut follow = follower(START);
    assert_eq!(follow.handle(START, Event::Tick).len(), 1);
    assert_eq!(follow.handle(START + 100, Event::Tick), []);
    assert_eq!(follow.handle(START + 600, Event::Tick), [Action::Subscribe(best())]);
}

/// Found by a hunt: a host on a slow link asked twice a second for all that its aggregator knows; the
/// answers filled its link for the rest of the day, and it heard of leaving upstreams 5.6 s late.
#[test]
fn repeated_ever_more_rarely() {
    let mut follow = follower(START);
    let asked =
        |follow: &mut Follow, millis| !follow.handle(START + millis, Event::Tick).is_empty();
    let times: Vec<u64> = (0..200).map(|n| n * 100).filter(|at| asked(&mut follow, *at)).collect();
    assert_eq!(times, [0, 500, 1_500, 3_500, 7_500, 15_500]);
}

/// Found by counting calls to the store: a host that stops keeps its key for a while, and whoever asked
/// it in vain read the store meanwhile.
#[test]
fn leaving_not_asked_again() {
    let mut follow = follower(START);
    follow.handle(START, Event::Tick);
    follow.handle(START + 5, Event::Told { from: best(), age_ms: None, is_leaving: true });
    let next = follow.handle(START + 20, Event::Tick);
    assert!(matches!(&next[..], [Action::Subscribe(other)] if *other != best()), "{next:?}");
}

#[test]
fn unasked_ignored() {
    let mut follow = follower(START);
    assert_eq!(follow.handle(START, Event::Synced { from: "h-other".into() }), []);
    assert_eq!(follow.source(), Source::Store);
}

/// A silent aggregator is left at once, and not asked again for a while.
#[test]
fn silence_left() {
    let mut follow = subscribed(START);
    follow.handle(START + 500, told(Some(100)));
    assert_eq!(follow.handle(START + 1_000, Event::Tick), []);
    let actions = follow.handle(START + 1_200, Event::Tick);
    let expected = [Action::Unsubscribe(best()), Action::Switch(Source::Store)];
    assert_eq!(actions, expected);
    let next = follow.handle(START + 1_220, Event::Tick);
    assert!(matches!(&next[..], [Action::Subscribe(other)] if *other != best()), "{next:?}");
}

/// What the store has not confirmed for long is doubted: the store is read if it answers.
#[test]
fn stale_probed() {
    let mut follow = subscribed(START);
    follow.handle(START + 100, told(Some(5_000)));
    assert_eq!(follow.handle(START + 120, Event::Tick), [Action::Probe]);
    assert_eq!(follow.handle(START + 140, Event::Tick), [], "one probe at a time");
    assert_eq!(follow.handle(START + 160, Event::Probed(false)), []);
    assert_eq!(follow.source(), Source::Aggregator(best()));
    follow.handle(START + 180, Event::Probed(true));
    assert_eq!(follow.source(), Source::Store);
}

#[test]
fn never_confirmed_probed() {
    let mut follow = subscribed(START);
    follow.handle(START + 100, told(None));
    assert_eq!(follow.handle(START + 120, Event::Tick), [Action::Probe]);
}

#[test]
fn fresh_again() {
    let mut follow = subscribed(START);
    follow.handle(START + 100, told(Some(5_000)));
    follow.handle(START + 120, Event::Tick);
    follow.handle(START + 200, told(Some(100)));
    assert_eq!(follow.handle(START + 220, Event::Probed(true)), []);
    assert_eq!(follow.source(), Source::Aggregator(best()));
}

#[test]
fn leaving_left() {
    let mut follow = subscribed(START);
    let leaving = Event::Told { from: best(), age_ms: Some(0), is_leaving: true };
    let actions = follow.handle(START + 100, leaving);
    assert_eq!(actions, [Action::Unsubscribe(best()), Action::Switch(Source::Store)]);
    let next = follow.handle(START + 120, Event::Tick);
    assert!(matches!(&next[..], [Action::Subscribe(other)] if *other != best()), "{next:?}");
}

#[test]
fn missed_reads_store() {
    let mut follow = subscribed(START);
    follow.handle(START + 100, Event::Missed);
    assert_eq!(follow.source(), Source::Store);
}

/// Who is asked to be an aggregator is one, whatever it thinks itself.
#[test]
fn asked_is_aggregator() {
    let mut follow = subscribed(START);
    follow.handle(START + 10, Event::Subscribers(1));
    follow.handle(START + 20, Event::Tick);
    assert_eq!(follow.source(), Source::Store);
    assert_eq!(follow.handle(START + 700, Event::Tick), [], "it asks nobody while it is asked");
}
