//! Upstreams that turn requests away and ask for rest.
//!
//! A runner turned a host away and asked for three seconds of rest, and got three to eight requests more from that host in
//! that time, some of them the same request again after 65 ms: what it asks for was read by nobody.
//!
//! `event=attempt_ended request=cf876d79b54e73fc upstream=i-434ca3fe90 number=1 end=full answered=false after_ms=2`
//! `event=attempt_ended request=cf876d79b54e73fc upstream=i-434ca3fe90 number=2 end=full answered=false after_ms=69`
//!
//! Read, it keeps all requests away, and after it one goes first:
//!
//! `event=rest_asked upstream=i-engine-0@1750000000000 for_ms=3000`

mod gateway;

use gateway::{
    Deployment, fronts,
    load::{Seen, check, offer, under_load},
    wait_for,
};
use std::{
    thread,
    time::{Duration, Instant},
};
use vanetally_platform_standin::Runner;

/// What is on its way when a host hears of the rest may arrive within this time.
const GRACE: Duration = Duration::from_millis(500);
const REST: Duration = Duration::from_secs(3);
/// An upstream is used again within this time after its rest.
const AGAIN: Duration = Duration::from_secs(1);
const HOSTS: usize = 3;

/// When requests of one host arrived, where callers ask `HOSTS` hosts in turn.
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

/// The most requests of one host that arrived while they were not to.
fn most_in_rest(runner: &Runner, since: Instant) -> usize {
    let of_host = |host| {
        let arrivals = arrivals(runner, host);
        let first = arrivals.iter().find(|at| **at >= since).copied();
        first.map_or(0, |first| {
            let rest = first + GRACE..first + REST;
            arrivals.iter().filter(|at| rest.contains(*at)).count()
        })
    };
    (0..HOSTS).map(of_host).max().unwrap_or(0)
}

/// Beside another engine callers see nothing of it, but those that are under way when their host first hears of it, and
/// the one that tries whether it is over: their route allows them one upstream.
#[test]
fn rest_kept() {
    let mut deployment = Deployment::start();
    deployment.add_engine();
    let hosts = deployment.hosts(HOSTS);
    let engine = deployment.engines[0].clone();
    let mut asked = Instant::now();
    let seen = under_load(&fronts(&hosts), offer, 8, Duration::from_millis(20), || {
        thread::sleep(Duration::from_secs(1));
        engine.set_cooldown(Some("3"));
        asked = Instant::now();
        thread::sleep(Duration::from_secs(5));
    });
    let most = most_in_rest(&engine, asked);
    assert!(most == 0, "{most} in the rest");
    let failed = seen.iter().filter(|one| one.began > asked && one.answer.status != 200);
    let failed: Vec<&Seen> = failed.collect();
    for front in fronts(&hosts) {
        let own: Vec<&&Seen> = failed.iter().filter(|one| one.front == front).collect();
        let later = own.iter().filter(|one| one.began > own[0].began + GRACE).count();
        assert!(later <= 1, "{later} later: {own:?}");
    }
}

/// The only upstream of a service rests: callers are refused at once, with the time at which it takes requests again;
/// then each host tries with one request, and when that is answered all go on.
#[test]
fn only_upstream_rests() {
    let deployment = Deployment::start();
    let hosts = deployment.hosts(HOSTS);
    let desk = deployment.desks[0].clone();
    let (mut asked, mut over) = (Instant::now(), Instant::now());
    let seen = under_load(&fronts(&hosts), check, 6, Duration::from_millis(20), || {
        thread::sleep(Duration::from_secs(1));
        desk.set_cooldown(Some("3"));
        asked = Instant::now();
        thread::sleep(Duration::from_millis(4_500));
        desk.set_cooldown(None);
        over = asked + 2 * REST;
        thread::sleep(over - Instant::now() + 2 * AGAIN);
    });
    let most = most_in_rest(&desk, asked);
    assert!(most == 0, "{most} in the rest");
    let back = asked + REST;
    let tried = desk.arrivals().iter().filter(|at| **at > back && **at < back + REST / 2).count();
    assert!((1..=2 * HOSTS).contains(&tried), "{tried} tried after the rest");
    let resting = |one: &&Seen| one.began > asked + GRACE && one.began < back - GRACE;
    for one in seen.iter().filter(resting) {
        assert_eq!(one.answer.status, 503, "{one:?}");
        assert!(one.took < Duration::from_millis(250), "{one:?}");
        let told = one.answer.header("retry-after").and_then(|text| text.parse::<f64>().ok());
        let left = (back - one.began).as_secs_f64();
        assert!(told.is_some_and(|told| (told - left).abs() < 0.75), "{told:?} of {left}");
    }
    let late: Vec<&Seen> = seen.iter().filter(|one| one.began > over + AGAIN).collect();
    assert!(!late.is_empty() && late.iter().all(|one| one.answer.status == 200), "{late:?}");
}

/// What is no number of seconds asks for nothing: the upstream is asked again soon.
#[test]
fn spoiled_rests() {
    let deployment = Deployment::start();
    let host = deployment.host("front-0");
    let desk = &deployment.desks[0];
    for spoiled in ["nan", "-3", "", "soon", "1e3", "Wed, 21 Oct 2026 07:28:00 GMT"] {
        desk.set_cooldown(Some(spoiled));
        assert_ne!(check(0).send(host.front).status, 200, "{spoiled:?}");
        desk.set_cooldown(None);
        let freed = Instant::now();
        wait_for("it is used again", || check(1).send(host.front).status == 200);
        assert!(freed.elapsed() < AGAIN, "{spoiled:?}: {:?}", freed.elapsed());
    }
}
