//! What a refused request is told.

use vanetally_route::{
    Action, AttemptEnd, Event, Options, Phase, Reason, Request, Router, Upstream, UpstreamStatus,
};
use vanetally_types::{Name, Tick, Verdict};

const NOW: Tick = Tick(10_000);

fn router(upstreams: &[&str]) -> Router {
    let mut router = Router::new(Options { domain: "a".into(), max_queued: 10 });
    let upstream = |name: &&str| Upstream {
        name: (*name).into(),
        url: "http://10.0.0.1:1".into(),
        domain: "a".into(),
        slots: 1,
        leaving: false,
    };
    router.handle(NOW, Event::Upstreams(upstreams.iter().map(upstream).collect()));
    for name in upstreams {
        let status = UpstreamStatus {
            entries: [("m@v1".into(), Phase::Ready)].into(),
            reachable: true,
            ..UpstreamStatus::default()
        };
        router.handle(NOW, Event::Status { upstream: (*name).into(), status });
    }
    router
}

fn request(id: u64, once_only: bool) -> Request {
    Request {
        id,
        caller: "desk".into(),
        target: "m".into(),
        entries: vec![Name::from("m@v1")],
        rank: 0,
        deadline: NOW + 60_000,
        once_only,
        prefix: 0,
    }
}

fn ended(router: &mut Router, end: AttemptEnd) -> Vec<Action> {
    router.handle(NOW, Event::Ended { id: 1, end, response_started: false })
}

fn verdict(actions: &[Action]) -> Option<Verdict> {
    actions.iter().find_map(|a| match a {
        Action::Refuse { refusal, .. } => Some(refusal.verdict),
        Action::Call { .. } => None,
    })
}

#[test]
fn retried_failure() {
    // The first attempt may have run; that the second did not says nothing of the first.
    let mut router = router(&["r1", "r2"]);
    router.handle(NOW, Event::Arrive(request(1, false)));
    let again = ended(&mut router, AttemptEnd::Failed(Verdict::MayHaveRun));
    assert!(matches!(again[..], [Action::Call { .. }]), "{again:?}");
    let mut last = ended(&mut router, AttemptEnd::Unreachable);
    while verdict(&last).is_none() {
        assert!(matches!(last[..], [Action::Call { .. }]), "{last:?}");
        last = ended(&mut router, AttemptEnd::Unreachable);
    }
    assert_eq!(verdict(&last), Some(Verdict::MayHaveRun));
}

#[test]
fn queued_failure() {
    let mut router = router(&["r1"]);
    router.handle(NOW, Event::Arrive(request(1, false)));
    ended(&mut router, AttemptEnd::Failed(Verdict::MayHaveRun));
    router.handle(NOW, Event::Ended { id: 1, end: AttemptEnd::Refused, response_started: false });
    let late = router.handle(NOW + 60_000, Event::Tick);
    assert_eq!(verdict(&late), Some(Verdict::MayHaveRun));
}

#[test]
fn once_failure() {
    let mut router = router(&["r1", "r2"]);
    router.handle(NOW, Event::Arrive(request(1, true)));
    let refused = ended(&mut router, AttemptEnd::Failed(Verdict::MayHaveRun));
    assert_eq!(verdict(&refused), Some(Verdict::MayHaveRun), "no second attempt");
}

#[test]
fn dead_upstream() {
    let mut router = router(&["r1", "r2"]);
    router.handle(NOW, Event::Arrive(request(1, true)));
    let again = ended(&mut router, AttemptEnd::Unreachable);
    assert!(matches!(again[..], [Action::Call { .. }]), "not run: another upstream may");
}

#[test]
fn nowhere_resident() {
    let mut router = router(&[]);
    let mut soon = request(1, false);
    soon.deadline = NOW + 2_000;
    let refused = router.handle(NOW, Event::Arrive(soon));
    let [Action::Refuse { refusal, .. }] = &refused[..] else { panic!("{refused:?}") };
    assert_eq!((refusal.reason, refusal.verdict), (Reason::NoUpstream, Verdict::NotRun));
    assert!(refusal.retry_after_ms > 0);
}

#[test]
fn retry_budget() {
    // Everything fails: calls stay within a tenth above the requests, once the savings are spent.
    let mut router = router(&["r1", "r2"]);
    let mut calls = 0_u32;
    let requests = 2_000;
    for id in 0..requests {
        let now = NOW + id * 40_000;
        let mut actions = router
            .handle(now, Event::Arrive(Request { deadline: now + 30_000, ..request(id, false) }));
        while let Some(Action::Call { id, .. }) =
            actions.iter().find(|a| matches!(a, Action::Call { .. })).cloned()
        {
            calls += 1;
            actions = router.handle(
                now,
                Event::Ended { id, end: AttemptEnd::Unreachable, response_started: false },
            );
        }
    }
    let amplification = f64::from(calls) / requests as f64;
    assert!(amplification < 1.1, "{amplification}");
}
