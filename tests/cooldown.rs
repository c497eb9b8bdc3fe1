//! Upstreams that reject a request and request a cooldown with `Retry-After`.
//!
//! Guards against hosts that ignore the cooldown and go on sending to the upstream, even the same
//! request again within 100 ms. In a cooldown a host sends no requests, and afterwards a single one
//! first. It logs the cooldown as:
//!
//! `event=rest_asked upstream=i-engine-0@1750000000000 for_ms=3000`

mod gateway;

use gateway::{
    Deployment, fronts,
    load::{Exchange, check, offer, under_load},
    wait_for,
};
use std::{
    thread,
    time::{Duration, Instant},
};
use vanetally_platform_standin::Runner;

/// Time after a rejection in which requests in flight may still arrive.
const GRACE: Duration = Duration::from_millis(500);
const COOLDOWN: Duration = Duration::from_secs(3);
/// Maximum time after a cooldown until the upstream is used again.
const MAX_RESUME_TIME: Duration = Duration::from_secs(1);
const HOSTS: usize = 3;

/// Returns when requests of a host arrived. Callers use `HOSTS` hosts in turn, so the request number
/// identifies the host.
fn arrivals(runner: &Runner, host: usize) -> Vec<Instant> {
    let of_host = |id: &str| {
        let number = id.strip_prefix('r').and_then(|number| number.parse::<usize>().ok());
        number.is_some_and(|number| number % HOSTS == host)
    };
    let requests = runner.requests();
    let all = requests.iter().zip(runner.arrivals());
    let own = all.filter(|(request, _)| request.header("x-attempt-id").is_some_and(of_host));
    own.map(|(_, at)| at).collect()
}

/// Returns the maximum number of requests of a host that arrived in its cooldown.
fn max_in_cooldown(runner: &Runner, since: Instant) -> usize {
    let of_host = |host| {
        let arrivals = arrivals(runner, host);
        let first = arrivals.iter().find(|at| **at >= since).copied();
        first.map_or(0, |first| {
            let cooldown = first + GRACE..first + COOLDOWN;
            arrivals.iter().filter(|at| cooldown.contains(*at)).count()
        })
    };
    (0..HOSTS).map(of_host).max().unwrap_or(0)
}

/// With a second engine only requests in flight at the first rejection fail, and the one that probes
/// the engine after the cooldown: the route allows one attempt.
#[test]
fn cooldown_respected() {
    let mut deployment = Deployment::start();
    deployment.add_engine();
    let hosts = deployment.hosts(HOSTS);
    let engine = deployment.engines[0].clone();
    let mut requested = Instant::now();
    let exchanges = under_load(&fronts(&hosts), offer, 8, Duration::from_millis(20), || {
        thread::sleep(Duration::from_secs(1));
        engine.set_cooldown(Some("3"));
        requested = Instant::now();
        thread::sleep(Duration::from_secs(5));
    });
    let max = max_in_cooldown(&engine, requested);
    assert!(max == 0, "{max} requests in the cooldown");
    let failed = exchanges
        .iter()
        .filter(|exchange| exchange.began > requested && exchange.answer.status != 200);
    let failed: Vec<&Exchange> = failed.collect();
    for front in fronts(&hosts) {
        let own: Vec<&&Exchange> =
            failed.iter().filter(|exchange| exchange.front == front).collect();
        let later = own.iter().filter(|exchange| exchange.began > own[0].began + GRACE).count();
        assert!(later <= 1, "{later} requests failed later: {own:?}");
    }
}

/// While the only upstream of a service is in a cooldown, callers are refused at once with the remaining
/// time. Then each host sends one request, and the others follow once it is answered.
#[test]
fn cooldown_of_only_upstream() {
    let deployment = Deployment::start();
    let hosts = deployment.hosts(HOSTS);
    let desk = deployment.desks[0].clone();
    let (mut requested, mut last_end) = (Instant::now(), Instant::now());
    let exchanges = under_load(&fronts(&hosts), check, 6, Duration::from_millis(20), || {
        thread::sleep(Duration::from_secs(1));
        desk.set_cooldown(Some("3"));
        requested = Instant::now();
        thread::sleep(Duration::from_millis(4_500));
        desk.set_cooldown(None);
        last_end = requested + 2 * COOLDOWN;
        thread::sleep(last_end - Instant::now() + 2 * MAX_RESUME_TIME);
    });
    let max = max_in_cooldown(&desk, requested);
    assert!(max == 0, "{max} requests in the cooldown");
    let cooldown_end = requested + COOLDOWN;
    let probes = desk
        .arrivals()
        .iter()
        .filter(|at| **at > cooldown_end && **at < cooldown_end + COOLDOWN / 2)
        .count();
    assert!((1..=2 * HOSTS).contains(&probes), "{probes} requests after the cooldown");
    let in_cooldown = |exchange: &&Exchange| {
        exchange.began > requested + GRACE && exchange.began < cooldown_end - GRACE
    };
    for exchange in exchanges.iter().filter(in_cooldown) {
        assert_eq!(exchange.answer.status, 503, "{exchange:?}");
        assert!(exchange.took < Duration::from_millis(250), "{exchange:?}");
        let retry_after =
            exchange.answer.header("retry-after").and_then(|text| text.parse::<f64>().ok());
        let remaining = (cooldown_end - exchange.began).as_secs_f64();
        assert!(
            retry_after.is_some_and(|seconds| (seconds - remaining).abs() < 0.75),
            "{retry_after:?} instead of {remaining}"
        );
    }
    let late: Vec<&Exchange> =
        exchanges.iter().filter(|exchange| exchange.began > last_end + MAX_RESUME_TIME).collect();
    assert!(
        !late.is_empty() && late.iter().all(|exchange| exchange.answer.status == 200),
        "{late:?}"
    );
}

/// A cooldown that is no valid number of seconds is ignored: the upstream is used again soon.
#[test]
fn invalid_cooldowns() {
    let deployment = Deployment::start();
    let host = deployment.host("front-0");
    let desk = &deployment.desks[0];
    for invalid in ["nan", "-3", "", "soon", "1e3", "Wed, 21 Oct 2026 07:28:00 GMT"] {
        desk.set_cooldown(Some(invalid));
        assert_ne!(check(0).send(host.front).status, 200, "{invalid:?}");
        desk.set_cooldown(None);
        let cleared = Instant::now();
        wait_for("the upstream is used again", || check(1).send(host.front).status == 200);
        assert!(cleared.elapsed() < MAX_RESUME_TIME, "{invalid:?}: {:?}", cleared.elapsed());
    }
}
