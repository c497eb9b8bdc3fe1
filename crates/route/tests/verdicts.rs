//! Verdicts and reasons of refused requests, and the retry budget.

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
    // The first attempt may have run. That later attempts did not run must not hide this from the
    // verdict.
    let mut router = router(&["r1", "r2"]);
    router.handle(NOW, Event::Arrive(request(1, false)));
    let retry = ended(&mut router, AttemptEnd::Failed(Verdict::MayHaveRun));
    assert!(matches!(retry[..], [Action::Call { .. }]), "{retry:?}");
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
    let refused = router.handle(NOW + 60_000, Event::Tick);
    assert_eq!(verdict(&refused), Some(Verdict::MayHaveRun));
}

#[test]
fn once_only_failure() {
    let mut router = router(&["r1", "r2"]);
    router.handle(NOW, Event::Arrive(request(1, true)));
    let refused = ended(&mut router, AttemptEnd::Failed(Verdict::MayHaveRun));
    assert_eq!(verdict(&refused), Some(Verdict::MayHaveRun), "no second attempt");
}

#[test]
fn unreachable_upstream() {
    let mut router = router(&["r1", "r2"]);
    router.handle(NOW, Event::Arrive(request(1, true)));
    let retry = ended(&mut router, AttemptEnd::Unreachable);
    assert!(matches!(retry[..], [Action::Call { .. }]), "not run, so it is retried elsewhere");
}

#[test]
fn no_upstream() {
    let mut router = router(&[]);
    let mut request = request(1, false);
    request.deadline = NOW + 2_000;
    let refused = router.handle(NOW, Event::Arrive(request));
    let [Action::Refuse { refusal, .. }] = &refused[..] else { panic!("{refused:?}") };
    assert_eq!((refusal.reason, refusal.verdict), (Reason::NoUpstream, Verdict::NotRun));
    assert!(refusal.retry_after_ms > 0);
}

#[test]
fn retry_budget() {
    // If all calls fail, retries add less than a tenth to the number of requests.
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
