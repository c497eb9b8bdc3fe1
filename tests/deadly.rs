//! Requests under which upstreams end, with real processes: how many upstreams one content may end.
//!
//! One content ended 10 and 17 runners one after the other. An end counted only where the runner's address refused
//! connections: where a front went on taking them, or the address went silent, nothing was ever known against the content
//! and it ended all that it was sent to, 86 and 69 in 15 s. Now a look asks who answers at the address, and what it finds is
//! weighed:
//!
//! `event=upstream_looked_at upstream=i-engine-4@1750000000000 sign=silent contents=1`
//! `event=content_quarantined content=e2c651d4b1fb57d9 upstream=i-engine-4@1750000000000 sign=silent ended=3 for_ms=60000 age_ms=621`

mod gateway;

use gateway::{
    Deployment, Host, fronts,
    load::{Seen, under_load},
    returns::LOST,
    wait_for,
};
use std::{
    thread,
    time::{Duration, Instant},
};
use vanetally_platform_standin::{Client, Downtime, DowntimeMode};

const DEADLY: &[u8] = b"deadly draft";
/// Each so many requests one is deadly.
const DEADLY_EVERY: u64 = 12;
const ENGINES: usize = 6;
const HOSTS: usize = 4;
/// A runner is away for so long.
const AWAY: Duration = Duration::from_millis(800);
/// Three ends may be needed to know a content, and three more requests of it are borne.
const MOST_ENDS: usize = 6;
/// So long after the third end no more than three follow.
const KNOWN: Duration = Duration::from_secs(4);
const MOST_LATE: usize = 3;

struct Site {
    deployment: Deployment,
    hosts: Vec<Host>,
}

impl Site {
    fn start(mode: DowntimeMode) -> Self {
        let mut deployment = Deployment::start();
        (1..ENGINES).for_each(|_| deployment.add_engine());
        let downtime = Downtime { length: AWAY, mode };
        for engine in &deployment.engines {
            engine.set_crash_body(DEADLY, downtime, &deployment.store);
        }
        let hosts = deployment.hosts(HOSTS);
        Self { deployment, hosts }
    }

    /// Ends all hosts at once, and starts them again.
    fn lose_hosts(&mut self) {
        self.hosts.iter_mut().for_each(Host::kill);
        let store = self.deployment.store.address();
        for (number, host) in self.hosts.iter_mut().enumerate() {
            let ip = host.front.ip().to_string();
            *host = self.deployment.spawn_at(&format!("front-{number}"), &ip, store);
        }
        self.hosts.iter().for_each(|host| wait_for("the host is ready", || host.is_ready()));
    }

    /// When runners ended, in order.
    fn ends(&self) -> Vec<Instant> {
        let mut ends: Vec<Instant> =
            self.deployment.engines.iter().flat_map(|engine| engine.crashes()).collect();
        ends.sort();
        ends
    }

    fn assert_few_ends(&self) {
        let ends = self.ends();
        assert!(ends.len() >= 2, "{}: nothing was tried", ends.len());
        assert!(ends.len() <= MOST_ENDS, "{} ended", ends.len());
        if let Some(third) = ends.get(2) {
            let late = ends.iter().filter(|end| **end > *third + KNOWN).count();
            assert!(late <= MOST_LATE, "{late} late");
        }
    }
}

fn is_deadly(number: u64) -> bool {
    number.is_multiple_of(DEADLY_EVERY)
}

fn offer(number: u64) -> Client {
    let body = format!("draft {number}").into_bytes();
    let body = if is_deadly(number) { DEADLY } else { &body };
    let client = Client::new("POST", "/offer/1", &format!("r{number}")).with("X-Model", "m1");
    client.body(body).deadline(3_000)
}

/// The share of other requests that were served.
fn served(seen: &[Seen]) -> f64 {
    let others: Vec<&Seen> = seen.iter().filter(|one| !is_deadly(one.number)).collect();
    let served = others.iter().filter(|one| one.answer.status == 200 && one.answer.is_complete);
    served.count() as f64 / others.len() as f64
}

/// All hosts are lost three times. What was known of the content lay in their memories alone, so that each time the next
/// runners ended under it, nine in all. The store keeps a quarantine now, and hosts that start read it before they serve:
///
/// `event=content_kept content=e2c651d4b1fb57d9 for_ms=60000`
/// `event=content_held content=e2c651d4b1fb57d9 ended=2 for_ms=60000 answered_here=false from=store`
#[test]
fn hosts_lost() {
    let mut site = Site::start(DowntimeMode::Refused);
    let fronts = fronts(&site.hosts);
    under_load(&fronts, offer, 8, Duration::from_millis(50), || {
        for _ in 0..3 {
            thread::sleep(Duration::from_secs(3));
            site.lose_hosts();
        }
        thread::sleep(Duration::from_secs(5));
    });
    site.assert_few_ends();
}

/// The store came back from a copy without the quarantine, and hosts that started then knew nothing of it.
#[test]
fn quarantine_lost_by_store() {
    const AGAIN: Duration = Duration::from_secs(4);
    let site = Site::start(DowntimeMode::Refused);
    let store = &site.deployment.store;
    let copy = store.snapshot();
    let fronts = fronts(&site.hosts);
    let kept = || !store.keys("vanetally/contents/").is_empty();
    under_load(&fronts, offer, 8, Duration::from_millis(50), || wait_for("it is kept", kept));
    thread::sleep(Duration::from_secs(1));
    store.restore(&copy, LOST);
    assert!(!kept());
    let back = Instant::now();
    wait_for("it is kept again", kept);
    assert!(back.elapsed() < AGAIN, "after {:?}", back.elapsed());
}

fn vacant_address(mode: DowntimeMode) {
    let site = Site::start(mode);
    let fronts = fronts(&site.hosts);
    let seen = under_load(&fronts, offer, 8, Duration::from_millis(50), || {
        thread::sleep(Duration::from_secs(15));
    });
    site.assert_few_ends();
    let served = served(&seen);
    assert!(served > 0.95, "{served} of {} were served", seen.len());
}

/// A front goes on taking connections for a runner that has gone, and closes them.
#[test]
fn fronted_address() {
    vacant_address(DowntimeMode::Closed);
}

/// The address of a runner that has gone takes connections and says nothing.
#[test]
fn dark_address() {
    vacant_address(DowntimeMode::Unresponsive);
}
