//! Which upstreams a host takes for blocked, and by which path it sends requests to them.

use rstest::rstest;
use vanetally_reach::{Action, AttemptId, Event, Offer, Path, ProbeResult, ProbeScope, Reach};
use vanetally_types::{Incarnation, Name, Tick};

/// Time without bytes after which an upstream with open attempts is probed.
const SILENCE_MS: u64 = 400;
/// Time within which the end of a cut must be noticed.
const HEAL_MS: u64 = 1_000;
const TICK_MS: u64 = 20;

fn upstream(number: usize) -> Incarnation {
    Incarnation::new(format!("u{number}"), Some(1))
}

fn exit() -> Name {
    "front-9".into()
}

fn host() -> Reach {
    let mut reach = Reach::new("front-0".into());
    reach.exits.set_hosts(vec!["front-0".into(), exit()]);
    reach
}

fn send(reach: &mut Reach, at: u64, attempt: u64, to: usize) -> Vec<Action> {
    let exit = (reach.path(Tick(at), &upstream(to)) == Path::Exit).then(exit);
    reach.handle(Tick(at), Event::Sent { attempt: own(attempt), upstream: upstream(to), exit })
}

fn own(number: u64) -> AttemptId {
    AttemptId::Own(number)
}

fn probed(reach: &mut Reach, at: u64, number: usize, result: ProbeResult) -> Vec<Action> {
    reach.handle(Tick(at), Event::Probed { upstream: upstream(number), result })
}

fn block(reach: &mut Reach, at: u64, number: usize) {
    reach.handle(Tick(at), Event::ConnectFailed(upstream(number)));
    probed(reach, at, number, ProbeResult::Blocked(exit()));
}

fn probes(actions: &[Action]) -> Vec<(Incarnation, ProbeScope)> {
    let probe = |action: &Action| match action {
        Action::Probe { upstream, scope } => Some((upstream.clone(), *scope)),
        _ => None,
    };
    actions.iter().filter_map(probe).collect()
}

#[test]
fn silence_probed() {
    let mut reach = host();
    send(&mut reach, 0, 1, 1);
    assert!(reach.handle(Tick(SILENCE_MS - 1), Event::Tick).is_empty());
    let actions = reach.handle(Tick(SILENCE_MS), Event::Tick);
    assert_eq!(probes(&actions), [(upstream(1), ProbeScope::Full)]);
    assert!(reach.handle(Tick(SILENCE_MS + TICK_MS), Event::Tick).is_empty(), "one at a time");
}

/// A stream with pauses, or another request's answer, shows that the path works.
#[test]
fn heard_upstream_not_probed() {
    let mut reach = host();
    send(&mut reach, 0, 1, 1);
    for at in (0..10 * SILENCE_MS).step_by(SILENCE_MS as usize / 2) {
        reach.handle(Tick(at), Event::Heard(upstream(1)));
        assert!(reach.handle(Tick(at), Event::Tick).is_empty());
    }
}

/// An engine may say nothing for seconds while a request is queued. Probes become rare then.
#[test]
fn slow_answer_rarely_probed() {
    let mut reach = host();
    send(&mut reach, 0, 1, 1);
    let mut count = 0;
    for at in (0..6_000).step_by(TICK_MS as usize) {
        let actions = reach.handle(Tick(at), Event::Tick);
        for _ in probes(&actions) {
            count += 1;
            probed(&mut reach, at, 1, ProbeResult::Answered);
        }
        assert!(!actions.iter().any(|action| matches!(action, Action::Lost(_))));
    }
    assert!((1..=5).contains(&count), "{count} probes");
    assert_eq!(reach.path(Tick(6_000), &upstream(1)), Path::Direct);
}

#[test]
fn blocked_upstream_reached_through_exit() {
    let mut reach = host();
    send(&mut reach, 0, 1, 1);
    reach.handle(Tick(SILENCE_MS), Event::Tick);
    let actions = probed(&mut reach, SILENCE_MS + 10, 1, ProbeResult::Blocked(exit()));
    let blocked = Action::Blocked { upstream: upstream(1), exit: exit() };
    assert_eq!(actions, [blocked, Action::Lost(own(1))]);
    assert_eq!(reach.path(Tick(SILENCE_MS + 20), &upstream(1)), Path::Exit);
    assert_eq!(reach.offer(Tick(SILENCE_MS + 20), &upstream(1)), Offer::Refuse);
}

/// The answers on connections that stay open during a cut still arrive.
#[test]
fn answers_on_open_connections_awaited() {
    let mut reach = host();
    send(&mut reach, 0, 1, 1);
    reach.handle(Tick(500), Event::Heard(upstream(1)));
    reach.handle(Tick(500), Event::ConnectFailed(upstream(1)));
    let actions = probed(&mut reach, 510, 1, ProbeResult::Blocked(exit()));
    assert!(!actions.contains(&Action::Lost(own(1))), "{actions:?}");
}

/// An upstream that answers nobody is not blocked, and neither are the others.
#[test]
fn dead_upstream_not_blocked() {
    let mut reach = host();
    send(&mut reach, 0, 1, 2);
    let failed = reach.handle(Tick(10), Event::ConnectFailed(upstream(1)));
    assert_eq!(probes(&failed), [(upstream(1), ProbeScope::Full)]);
    probed(&mut reach, 20, 1, ProbeResult::Unanswered);
    reach.handle(Tick(30), Event::Proven(upstream(2)));
    for number in 1..=3 {
        assert_eq!(reach.path(Tick(40), &upstream(number)), Path::Direct);
        assert_eq!(reach.new_path(Tick(40), &upstream(number)), Path::Direct);
        assert_ne!(reach.offer(Tick(40), &upstream(number)), Offer::Refuse);
    }
}

/// The failure of an upstream that answers nobody casts no doubt on the paths to others.
#[test]
fn confirmed_failure_explained() {
    let mut reach = host();
    reach.handle(Tick(10), Event::ConnectFailed(upstream(1)));
    assert!(reach.is_doubtful(Tick(15)));
    probed(&mut reach, 20, 1, ProbeResult::Failed);
    assert!(!reach.is_doubtful(Tick(30)));
    assert_eq!(reach.new_path(Tick(30), &upstream(2)), Path::Direct);
}

/// After the first failure no request is lost on the way to the other upstreams.
#[test]
fn doubt_until_heard() {
    let mut reach = host();
    reach.handle(Tick(0), Event::Heard(upstream(2)));
    reach.handle(Tick(10), Event::ConnectFailed(upstream(1)));
    assert_eq!(reach.path(Tick(20), &upstream(2)), Path::Exit);
    assert_eq!(reach.offer(Tick(20), &upstream(2)), Offer::Refuse);
    reach.handle(Tick(30), Event::Heard(upstream(2)));
    assert_eq!(reach.path(Tick(40), &upstream(2)), Path::Direct);
}

/// Doubt about an upstream lasts while another one is blocked, but its path is probed when it is used.
#[test]
fn doubt_resolved_by_probe() {
    let mut reach = host();
    block(&mut reach, 0, 1);
    let at = 10_000;
    assert_eq!(reach.path(Tick(at), &upstream(2)), Path::Exit);
    let actions = send(&mut reach, at, 1, 2);
    assert_eq!(probes(&actions), [(upstream(2), ProbeScope::Full)]);
    probed(&mut reach, at + 5, 2, ProbeResult::Answered);
    assert_eq!(reach.path(Tick(at + 10), &upstream(2)), Path::Direct);
    assert_eq!(reach.path(Tick(at + 10), &upstream(1)), Path::Exit);
}

/// Where only new connections are blocked, an open one says nothing about them.
#[test]
fn new_connections_proven_first() {
    let mut reach = host();
    block(&mut reach, 0, 1);
    reach.handle(Tick(10), Event::Heard(upstream(2)));
    assert_eq!(reach.path(Tick(20), &upstream(2)), Path::Direct);
    assert_eq!(reach.new_path(Tick(20), &upstream(2)), Path::Exit);
    let actions = reach.handle(Tick(20), Event::Connecting(upstream(2)));
    assert_eq!(probes(&actions), [(upstream(2), ProbeScope::Full)]);
    probed(&mut reach, 25, 2, ProbeResult::Answered);
    assert_eq!(reach.new_path(Tick(30), &upstream(2)), Path::Direct);
}

/// After a failure on a new connection no request is lost on new ones to other upstreams, although those
/// that are open still work.
#[test]
fn first_new_connection_fails() {
    let mut reach = host();
    reach.handle(Tick(10), Event::ConnectFailed(upstream(1)));
    reach.handle(Tick(20), Event::Heard(upstream(2)));
    assert_eq!(reach.path(Tick(30), &upstream(2)), Path::Direct);
    assert_eq!(reach.new_path(Tick(30), &upstream(2)), Path::Exit);
    reach.handle(Tick(40), Event::Proven(upstream(2)));
    assert_eq!(reach.new_path(Tick(50), &upstream(3)), Path::Direct);
}

/// A host whose open connections work offers no tunnel before a new connection was answered.
#[test]
fn tunnel_needs_new_connection() {
    let mut reach = host();
    let offer = |reach: &Reach, at| reach.offer(Tick(at), &upstream(1));
    send(&mut reach, 0, 1, 1);
    reach.handle(Tick(5), Event::Heard(upstream(1)));
    assert_eq!(offer(&reach, 10), Offer::Probe);
    reach.handle(Tick(20), Event::Proven(upstream(1)));
    assert_eq!(offer(&reach, 30), Offer::Accept);
    reach.handle(Tick(900), Event::Heard(upstream(1)));
    assert_eq!(offer(&reach, 910), Offer::Accept);
    assert_eq!(offer(&reach, 1_100), Offer::Probe);
    block(&mut reach, 1_200, 2);
    reach.handle(Tick(1_210), Event::Heard(upstream(1)));
    assert_eq!(offer(&reach, 1_220), Offer::Probe, "proven before another one was blocked");
}

/// A host is cut off if several upstreams fail and it finds no exit for a while. The end of that is
/// noticed without any request.
#[test]
fn cut_off_until_probed() {
    let mut reach = host();
    let fail = |reach: &mut Reach, at, number| {
        reach.handle(Tick(at), Event::ConnectFailed(upstream(number)));
        probed(reach, at + 5, number, ProbeResult::Unanswered);
    };
    fail(&mut reach, 0, 1);
    assert!(!reach.is_cut_off(Tick(3_000)), "a single upstream may be busy");
    fail(&mut reach, 3_000, 2);
    assert!(reach.is_widely_doubtful(Tick(3_010)));
    assert!(reach.is_cut_off(Tick(3_010)));
    reach.exits.opened(Tick(3_020), &exit());
    assert!(!reach.is_cut_off(Tick(3_030)), "there is an exit");
    assert!(reach.is_cut_off(Tick(4_520)));
    let actions = reach.handle(Tick(4_520), Event::Tick);
    assert_eq!(probes(&actions), [(upstream(2), ProbeScope::Full)]);
    probed(&mut reach, 4_530, 2, ProbeResult::Answered);
    assert!(!reach.is_doubtful(Tick(4_540)));
}

/// A tunnel of another host that gets no answer is a sign like an attempt of this one.
#[test]
fn served_tunnel_silent() {
    let mut reach = host();
    let attempt = AttemptId::Served(1);
    reach.handle(Tick(0), Event::Sent { attempt, upstream: upstream(1), exit: None });
    let actions = reach.handle(Tick(SILENCE_MS), Event::Tick);
    assert_eq!(probes(&actions), [(upstream(1), ProbeScope::Full)]);
    let actions = probed(&mut reach, SILENCE_MS + 10, 1, ProbeResult::Blocked(exit()));
    assert!(actions.contains(&Action::Lost(attempt)), "{actions:?}");
}

/// All upstreams that are used are reached directly again within a second of the end of a cut.
#[test]
fn heal_noticed() {
    const UPSTREAMS: usize = 60;
    let mut reach = host();
    (0..UPSTREAMS).for_each(|number| block(&mut reach, 0, number));
    let healed_at = 5_000;
    let mut attempt = 0;
    let mut running: Vec<(u64, Incarnation)> = Vec::new();
    for at in (TICK_MS..healed_at + HEAL_MS).step_by(TICK_MS as usize) {
        // Each upstream gets a request about twice a second.
        for number in (0..UPSTREAMS).filter(|number| (at / TICK_MS) as usize % 25 == number % 25) {
            attempt += 1;
            send(&mut reach, at, attempt, number);
            reach.handle(Tick(at), Event::Ended { attempt: own(attempt), is_broken: false });
        }
        let actions = reach.handle(Tick(at), Event::Tick);
        running.extend(probes(&actions).into_iter().map(|(upstream, _)| (at, upstream)));
        assert!(running.len() <= 10, "{} probes at the same time", running.len());
        // Before the end of the cut a probe takes 300 ms to fail.
        let is_done = |(since, _): &(u64, Incarnation)| at >= healed_at || at - since >= 300;
        let (done, open): (Vec<_>, Vec<_>) = running.into_iter().partition(is_done);
        running = open;
        for (_, upstream) in done {
            let is_healed = at >= healed_at;
            let result = if is_healed { ProbeResult::Answered } else { ProbeResult::Unanswered };
            reach.handle(Tick(at), Event::Probed { upstream, result });
        }
    }
    assert_eq!(reach.blocked(), 0);
}

/// Without another host a request takes the direct path whatever happened on it.
#[test]
fn sole_host() {
    let mut reach = Reach::new("front-0".into());
    reach.exits.set_hosts(vec!["front-0".into()]);
    reach.handle(Tick(0), Event::ConnectFailed(upstream(1)));
    assert_eq!(reach.path(Tick(10), &upstream(1)), Path::Direct);
    assert_eq!(reach.new_path(Tick(10), &upstream(1)), Path::Direct);
}

/// An upstream that is gone, or no longer used, keeps no other one in doubt.
#[test]
fn gone_upstream_forgotten() {
    let mut reach = host();
    block(&mut reach, 0, 1);
    block(&mut reach, 0, 2);
    reach.handle(Tick(10), Event::Gone(upstream(1)));
    assert_eq!(reach.blocked(), 1);
    reach.handle(Tick(60_000), Event::Tick);
    assert_eq!(reach.blocked(), 0);
    assert_eq!(reach.path(Tick(60_000), &upstream(3)), Path::Direct);
}

/// A request that is sent again, since its connection was closed, is open on the new path only.
#[test]
fn sent_again_through_exit() {
    let mut reach = host();
    send(&mut reach, 0, 1, 1);
    let again = Event::Sent { attempt: own(1), upstream: upstream(1), exit: Some(exit()) };
    reach.handle(Tick(10), again);
    probed(&mut reach, 20, 1, ProbeResult::Answered);
    let actions = reach.handle(Tick(10 * SILENCE_MS), Event::Tick);
    assert_eq!(actions, [Action::CheckExit { exit: exit(), upstream: upstream(1) }]);
}

/// An exit through which nothing comes is asked; the attempts through one that does not answer are lost,
/// and those through one that does are waited for.
#[rstest]
#[case::frozen(false)]
#[case::slow_upstream(true)]
fn silent_exit_checked(#[case] works: bool) {
    let mut reach = host();
    block(&mut reach, 0, 1);
    send(&mut reach, 10, 1, 1);
    reach.handle(Tick(300), Event::HeardThrough(exit()));
    let checks = |actions: Vec<Action>| {
        actions.iter().filter(|action| matches!(action, Action::CheckExit { .. })).count()
    };
    assert_eq!(checks(reach.handle(Tick(10 + SILENCE_MS), Event::Tick)), 0);
    assert_eq!(checks(reach.handle(Tick(300 + SILENCE_MS), Event::Tick)), 1);
    assert_eq!(checks(reach.handle(Tick(320 + SILENCE_MS), Event::Tick)), 0, "one at a time");
    let at = 800 + SILENCE_MS;
    let actions = reach.handle(Tick(at), Event::ExitChecked { exit: exit(), works });
    assert_eq!(actions.contains(&Action::Lost(own(1))), !works, "{actions:?}");
    let again = checks(reach.handle(Tick(at + 2 * SILENCE_MS), Event::Tick));
    assert_eq!(again, usize::from(works), "as long as an attempt is open");
}

/// Time without a byte after which a host with blocked upstreams asks others.
const QUIET_MS: u64 = 1_500;

fn separations(actions: &[Action]) -> Vec<&Action> {
    let is_about = |action: &&Action| matches!(action, Action::Separated(_) | Action::AskOthers(_));
    actions.iter().filter(is_about).collect()
}

/// A host that hears nothing directly from any upstream, asks some in vain, while another host reaches
/// one, is separated.
#[test]
fn separated_until_heard() {
    let mut reach = host();
    reach.handle(Tick(0), Event::ConnectFailed(upstream(1)));
    let actions = reach.handle(Tick(10 * QUIET_MS), Event::Tick);
    assert!(separations(&actions).is_empty(), "no other host reaches it");
    let mut reach = host();
    block(&mut reach, 0, 1);
    reach.handle(Tick(500), Event::Heard(upstream(2)));
    let actions = reach.handle(Tick(QUIET_MS), Event::Tick);
    assert!(separations(&actions).is_empty(), "another upstream was heard");
    reach.handle(Tick(1_000), Event::HeardThrough(exit()));
    let at = 500 + QUIET_MS;
    let actions = reach.handle(Tick(at), Event::Tick);
    let ask = Action::AskOthers(upstream(1));
    assert_eq!(separations(&actions), [&ask], "an exit is no path of its own");
    let actions = reach.handle(Tick(at + TICK_MS), Event::Tick);
    assert!(separations(&actions).is_empty(), "one question at a time");
    let actions = reach.handle(Tick(at + 200), Event::OthersAsked { is_reached: false });
    assert_eq!(actions, [Action::Separated(true)]);
    reach.handle(Tick(at + 1_000), Event::Heard(upstream(2)));
    let actions = reach.handle(Tick(at + 1_000), Event::Tick);
    assert_eq!(separations(&actions), [&Action::Separated(false)]);
}

/// A host that sends only to a blocked upstream is not separated if another one answers it.
#[test]
fn others_reached() {
    let mut reach = host();
    block(&mut reach, 0, 1);
    reach.handle(Tick(QUIET_MS), Event::Tick);
    reach.handle(Tick(QUIET_MS + 10), Event::Proven(upstream(2)));
    let actions = reach.handle(Tick(QUIET_MS + 10), Event::OthersAsked { is_reached: true });
    assert!(separations(&actions).is_empty());
    let actions = reach.handle(Tick(QUIET_MS + 500), Event::Tick);
    assert!(separations(&actions).is_empty(), "asked again only after another silence");
    let actions = reach.handle(Tick(2 * QUIET_MS + 10), Event::Tick);
    assert_eq!(separations(&actions), [&Action::AskOthers(upstream(1))]);
}
