//! Many hosts and a plain upstream with few slots: the requests of all hosts together, as the upstream
//! and callers see them.
//!
//! Guards against hosts that each decide from load reports, which show all of them the same free
//! slots.

mod gateway;

use gateway::{
    Deployment, Host, fronts,
    load::{Exchange, check, under_load},
    wait_for,
};
use serde_json::json;
use std::{
    net::SocketAddr,
    thread,
    time::{Duration, Instant},
};
use vanetally_platform_standin::{Behaviour, Runner};

const HOSTS: usize = 8;
const SLOTS: usize = 3;
const WORK_MS: u64 = 60;
/// Requests that the upstream queues. Owners grant one slot more than there are.
const QUEUE: usize = 2;
/// Callers that send requests all the time, about four times what the slots take.
const CALLERS: usize = 24;
const PAUSE: Duration = Duration::from_millis(100);
const GRANTED: &str = "vanetally_slot_answers_total{answer=\"granted\"}";

/// Starts hosts and an upstream with [`SLOTS`] slots.
fn start(slot_grants: bool) -> (Deployment, Vec<Host>, Runner) {
    let deployment = Deployment::start();
    let desk = deployment.desks[0].clone();
    desk.set_slots(SLOTS);
    desk.set_behaviour(Behaviour::Slots { work_ms: WORK_MS, queue: QUEUE });
    let (key, value) = desk.entry();
    deployment.store.put(&key, &value);
    let hosts = deployment.scheduled_hosts(HOSTS, &json!({ "slot_grants": slot_grants }));
    // Until all hosts know each other, they seem to be fewer than the slots.
    thread::sleep(Duration::from_secs(2));
    (deployment, hosts, desk)
}

fn load(fronts: &[SocketAddr], duration: Duration) -> Vec<Exchange> {
    under_load(fronts, check, CALLERS, PAUSE, || thread::sleep(duration))
}

fn served(exchanges: &[Exchange]) -> usize {
    exchanges.iter().filter(|exchange| exchange.answer.status == 200).count()
}

/// Returns how many requests the slots allow within `duration`.
fn possible(duration: Duration) -> usize {
    SLOTS * duration.as_millis() as usize / WORK_MS as usize
}

/// Four times the load that the slots take: nearly no request is rejected by the upstream, which is
/// busy all the time.
#[test]
fn process_rejections() {
    let (_deployment, hosts, desk) = start(true);
    let duration = Duration::from_secs(5);
    let exchanges = load(&fronts(&hosts), duration);
    let (arrived, rejected) = (desk.arrivals().len(), desk.overflows());
    println!("arrived={arrived} rejected={rejected} served={}", served(&exchanges));
    assert!(rejected * 50 < arrived, "{rejected} of {arrived} were rejected");
    let (served, possible) = (served(&exchanges), possible(duration));
    assert!(served * 10 >= possible * 8, "{served} of {possible} possible");
}

/// The owner of the upstream's slots is killed. The others go on, and soon with another owner.
#[test]
fn owner_process_killed() {
    let (_deployment, mut hosts, desk) = start(true);
    load(&fronts(&hosts), Duration::from_secs(1));
    wait_for("a host is the owner", || hosts.iter().any(|host| host.metric(GRANTED).is_some()));
    let granted = |host: &Host| host.metric(GRANTED).unwrap_or(0.0) as u64;
    let owner = (0..HOSTS).max_by_key(|number| granted(&hosts[*number])).expect("a host");
    let mut owner = hosts.remove(owner);
    let mut killed = Instant::now();
    let duration = Duration::from_secs(5);
    let exchanges = under_load(&fronts(&hosts), check, CALLERS, PAUSE, || {
        thread::sleep(Duration::from_secs(1));
        owner.kill();
        killed = Instant::now();
        thread::sleep(duration);
    });
    let after: Vec<Exchange> =
        exchanges.into_iter().filter(|exchange| exchange.began >= killed).collect();
    let (arrived, rejected) = (desk.arrivals().len(), desk.overflows());
    println!("arrived={arrived} rejected={rejected} served={}", served(&after));
    let (served, possible) = (served(&after), possible(duration));
    assert!(served * 10 >= possible * 7, "{served} of {possible} possible");
    assert!(rejected * 50 < arrived, "{rejected} of {arrived} were rejected");
    assert!(hosts.iter().any(|host| host.metric(GRANTED).is_some()));
}

/// With the setting off nothing is granted.
#[test]
fn setting_off() {
    let (_deployment, hosts, desk) = start(false);
    let exchanges = load(&fronts(&hosts), Duration::from_secs(2));
    let (arrived, rejected) = (desk.arrivals().len(), desk.overflows());
    println!("arrived={arrived} rejected={rejected} served={}", served(&exchanges));
    assert!(served(&exchanges) > 0);
    assert!(hosts.iter().all(|host| host.metric(GRANTED).is_none()));
}
