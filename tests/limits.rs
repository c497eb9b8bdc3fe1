//! Rate-limited upstreams: the requests of all hosts together, as upstreams and callers see them.
//!
//! Guards against hosts that ignore the limit stated in the answers of an upstream, or that each apply it
//! on their own.

mod gateway;

use gateway::{
    Deployment, Host, fronts,
    load::{Exchange, check, offer, under_load},
    wait_for,
};
use std::{
    sync::atomic::{AtomicBool, AtomicU64, Ordering},
    thread,
    time::{Duration, Instant},
};
use vanetally_platform_standin::{Runner, StoreMode};

/// Window in which arriving requests are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// Time after the first stated limit until all hosts keep to it.
const SETTLED: Duration = Duration::from_secs(1);
/// Requests allowed beyond the limit: one that has waited, and one that is a little early.
const SLACK: f64 = 2.0;

/// Returns the maximum number of requests that arrived in a window, from `since` on.
fn max_in_window(runner: &Runner, since: Instant) -> usize {
    let arrivals: Vec<Instant> = runner.arrivals().into_iter().filter(|at| *at >= since).collect();
    let within =
        |from: &Instant| arrivals.iter().filter(|at| *at >= from && **at - *from < WINDOW).count();
    arrivals.iter().map(within).max().unwrap_or(0)
}

fn arrived_since(runner: &Runner, since: Instant) -> usize {
    runner.arrivals().iter().filter(|at| **at >= since).count()
}

/// Starts hosts and waits until one of them is the grantor.
fn hosts(deployment: &Deployment, count: usize) -> Vec<Host> {
    let hosts = deployment.hosts(count);
    wait_for("a host holds the order lease", || hosts.iter().any(Host::is_order_holder));
    hosts
}

/// Six hosts and two engines with the same model, one of them rate-limited: it receives its limit in sum,
/// and nearly all of it. The other engine serves the rest, and no request fails.
#[test]
fn limit_across_hosts() {
    let mut deployment = Deployment::start();
    deployment.add_engine();
    let hosts = hosts(&deployment, 6);
    let engine = deployment.engines[0].clone();
    engine.set_limit(Some("2.5"));
    let mut settled = Instant::now();
    let exchanges = under_load(&fronts(&hosts), offer, 8, Duration::from_millis(50), || {
        thread::sleep(SETTLED);
        settled = Instant::now();
        thread::sleep(2 * WINDOW);
    });
    let max = max_in_window(&engine, settled);
    let allowed = 2.5 * WINDOW.as_secs_f64() + SLACK;
    assert!(max as f64 <= allowed, "{max} requests in the window, {allowed} allowed");
    let all = arrived_since(&engine, settled) as f64;
    let offered = 2.5 * 2.0 * WINDOW.as_secs_f64();
    assert!(all >= 0.8 * offered, "{all} of {offered} were used");
    let failed: Vec<&Exchange> =
        exchanges.iter().filter(|exchange| exchange.answer.status != 200).collect();
    assert!(failed.is_empty(), "{failed:?}");
}

/// The only upstream of a service accepts less than one request a second. Excess requests are refused at
/// once with a `Retry-After`; once the limit ends, all requests are served again within a second.
#[test]
fn limit_of_only_upstream() {
    let deployment = Deployment::start();
    let hosts = hosts(&deployment, 3);
    let desk = deployment.desks[0].clone();
    desk.set_limit(Some("0.5"));
    let (mut settled, mut ended) = (Instant::now(), Instant::now());
    let exchanges = under_load(&fronts(&hosts), check, 4, Duration::from_millis(50), || {
        thread::sleep(SETTLED);
        settled = Instant::now();
        thread::sleep(2 * WINDOW);
        desk.set_limit(None);
        ended = Instant::now();
        // The answer to the next request shows that the limit has ended.
        thread::sleep(Duration::from_secs(2) + SETTLED + Duration::from_secs(1));
    });
    let arrivals = desk.arrivals();
    let during = arrivals.iter().filter(|at| **at >= settled && **at < ended).count();
    assert!((3..=6).contains(&during), "{during} requests in twice {WINDOW:?}");
    let refused: Vec<&Exchange> = exchanges
        .iter()
        .filter(|exchange| exchange.began >= settled && exchange.answer.status == 503)
        .collect();
    assert!(refused.len() > 50, "{} were refused", refused.len());
    for exchange in &refused {
        assert!(exchange.took < Duration::from_millis(500), "{exchange:?}");
        let seconds =
            exchange.answer.header("retry-after").and_then(|text| text.parse::<f64>().ok());
        assert!(seconds.is_some_and(|seconds| seconds > 0.0 && seconds < 60.0), "{exchange:?}");
    }
    let later = ended + Duration::from_secs(2) + SETTLED;
    let late: Vec<&Exchange> =
        exchanges.iter().filter(|exchange| exchange.began >= later).collect();
    assert!(
        !late.is_empty() && late.iter().all(|exchange| exchange.answer.status == 200),
        "{late:?}"
    );
}

/// The load is far above the limit. A request without a send time within its wait limit is refused on
/// arrival, with the time at which there is capacity, and nearly all of the limit is used.
///
/// Guards against requests that count as load of the upstream while they wait in its schedule: all its
/// places then seem taken, and others wait in a queue before they are refused:
///
/// `event=request_refused request=r181 route=check lack=limit holders=1 sendings=0 cause=limited retry_after_ms=3838 after_ms=877`
#[test]
fn refused_on_arrival() {
    let deployment = Deployment::start();
    let hosts = hosts(&deployment, 3);
    let desk = deployment.desks[0].clone();
    desk.set_limit(Some("12.5"));
    let (mut settled, mut ended) = (Instant::now(), Instant::now());
    let exchanges = under_load(&fronts(&hosts), check, 60, Duration::from_millis(800), || {
        thread::sleep(2 * SETTLED);
        settled = Instant::now();
        thread::sleep(2 * WINDOW);
        ended = Instant::now();
    });
    let refused = exchanges
        .iter()
        .filter(|exchange| exchange.began >= settled && exchange.answer.status == 503);
    let mut took: Vec<Duration> = refused.map(|exchange| exchange.took).collect();
    took.sort();
    assert!(took.len() > 50, "{} were refused", took.len());
    let median = took[took.len() / 2];
    assert!(median < Duration::from_millis(100), "median {median:?} of {} refusals", took.len());
    let used = desk.arrivals().iter().filter(|at| **at >= settled && **at < ended).count() as f64;
    let offered = 12.5 * 2.0 * WINDOW.as_secs_f64();
    assert!(used >= 0.9 * offered, "{used} of {offered} were used");
}

/// An invalid limit is ignored.
#[test]
fn invalid_limits() {
    let deployment = Deployment::start();
    let hosts = hosts(&deployment, 2);
    for invalid in ["nan", "-1", "", "1e-3", "0.5 a second"] {
        deployment.desks[0].set_limit(Some(invalid));
        let exchanges = under_load(&fronts(&hosts), check, 2, Duration::from_millis(10), || {
            thread::sleep(Duration::from_millis(500));
        });
        let failed: Vec<&Exchange> =
            exchanges.iter().filter(|exchange| exchange.answer.status != 200).collect();
        assert!(failed.is_empty() && exchanges.len() > 20, "{invalid:?}: {failed:?}");
    }
}

/// Returns the allowed requests in a window under faults. Hosts that cannot be reached, were stalled or
/// have just started may send half of the limit and five requests beside the others.
fn allowed_under_faults(rate: f64) -> f64 {
    1.5 * rate * WINDOW.as_secs_f64() + 5.0
}

/// Starts six hosts and two engines, one of them limited to 2.5 requests a second. Returns the deployment,
/// the hosts and the limited engine.
fn start_limited_engine() -> (Deployment, Vec<Host>, Runner) {
    let mut deployment = Deployment::start();
    deployment.add_engine();
    let hosts = hosts(&deployment, 6);
    let engine = deployment.engines[0].clone();
    engine.set_limit(Some("2.5"));
    (deployment, hosts, engine)
}

/// The grantor is paused for longer than its lease. The next one starts without outstanding grants, other
/// hosts keep to their shares meanwhile, and grants of the first one are not used after it resumes.
#[test]
fn grantor_paused() {
    let (_deployment, hosts, engine) = start_limited_engine();
    let mut settled = Instant::now();
    let mut resumed = Instant::now();
    under_load(&fronts(&hosts), offer, 8, Duration::from_millis(50), || {
        thread::sleep(SETTLED);
        settled = Instant::now();
        let grantor = hosts.iter().find(|host| host.is_order_holder()).expect("a grantor");
        grantor.signal("STOP");
        thread::sleep(Duration::from_secs(5));
        grantor.signal("CONT");
        resumed = Instant::now();
        thread::sleep(2 * WINDOW);
    });
    let max = max_in_window(&engine, settled);
    let allowed = allowed_under_faults(2.5);
    assert!(max as f64 <= allowed, "{max} requests in the window, {allowed} allowed");
    let used = arrived_since(&engine, resumed) as f64;
    let offered = 2.5 * 2.0 * WINDOW.as_secs_f64();
    assert!(used >= 0.8 * offered, "{used} of {offered} were used");
}

/// The store is away for longer than all leases: no other host can become grantor, and the last one
/// continues. The limit is used also if only two of six hosts have requests: the others announce that they could
/// send to the upstream, too.
#[test]
fn limit_without_store() {
    let (deployment, hosts, engine) = start_limited_engine();
    let mut settled = Instant::now();
    let mut late = Instant::now();
    under_load(&fronts(&hosts[..2]), offer, 8, Duration::from_millis(50), || {
        thread::sleep(SETTLED);
        settled = Instant::now();
        deployment.store.set_mode(StoreMode::Silent);
        thread::sleep(Duration::from_secs(4));
        late = Instant::now();
        thread::sleep(WINDOW);
    });
    let max = max_in_window(&engine, settled);
    let allowed = allowed_under_faults(2.5);
    assert!(max as f64 <= allowed, "{max} requests in the window, {allowed} allowed");
    let used = arrived_since(&engine, late) as f64;
    assert!(used >= 0.7 * 2.5 * WINDOW.as_secs_f64(), "{used} were used");
}

/// Hosts are replaced one after the other. A new host receives the limit before it sends, and hosts do not
/// apply it on their own in addition.
#[test]
fn hosts_replaced() {
    let (deployment, mut hosts, engine) = start_limited_engine();
    let mut settled = Instant::now();
    let fronts = fronts(&hosts);
    let next = AtomicU64::new(0);
    let is_over = AtomicBool::new(false);
    let call = || {
        while !is_over.load(Ordering::Relaxed) {
            let number = next.fetch_add(1, Ordering::Relaxed);
            offer(number).send(fronts[number as usize % fronts.len()]);
            thread::sleep(Duration::from_millis(50));
        }
    };
    thread::scope(|scope| {
        (0..8).for_each(|_| drop(scope.spawn(call)));
        thread::sleep(SETTLED);
        settled = Instant::now();
        for number in 0..hosts.len() {
            hosts[number].kill();
            let ip = fronts[number].ip().to_string();
            let store = deployment.store.address();
            hosts[number] = deployment.spawn_at(&format!("front-{number}"), &ip, store);
            wait_for("the host is ready", || hosts[number].is_ready());
            thread::sleep(Duration::from_millis(500));
        }
        is_over.store(true, Ordering::Relaxed);
    });
    let max = max_in_window(&engine, settled);
    let allowed = allowed_under_faults(2.5);
    assert!(max as f64 <= allowed, "{max} requests in the window, {allowed} allowed");
}
