//! Decisions of hosts that can't reach the grantor.

use std::collections::HashMap;
use vanetally_ports::{Quota, QuotaUnit};
use vanetally_quota::{Authority, Bounds, Decision, QuotaAnswer, QuotaClient};
use vanetally_types::{Name, Tick};

const START: Tick = Tick(1_000_000);
const HOSTS: usize = 69;
const RATE: f64 = 100_000.0;
const BOUNDS: Bounds = Bounds { window_ms: 8_000, excess: 0.1, slack: 11_000.0 };
/// Allowed excess over the quota of one window.
const EXCESS: f64 = RATE * 9.0 * 0.1 + 11_000.0;
const COST: u32 = 1_500;

fn quotas() -> HashMap<Name, Quota> {
    let unit = QuotaUnit::Tokens { default_tokens: 200 };
    HashMap::from([("o".into(), Quota { unit, rate: RATE, burst: RATE })])
}

fn hosts(count: usize) -> Vec<QuotaClient> {
    let host = |seed| {
        let mut client = QuotaClient::new(BOUNDS, seed);
        client.set_hosts(START - 1_000, HOSTS);
        client.configure(START, &quotas());
        client
    };
    (0..count as u64).map(host).collect()
}

/// Gives each host a request of `COST` every `every_ms`, and returns what all hosts spend without a
/// grantor.
fn spend_locally(hosts: &mut [QuotaClient], from: Tick, millis: u64, every_ms: u64) -> f64 {
    let mut spent = 0.0;
    for ms in (0..millis).step_by(every_ms as usize) {
        for client in hosts.iter_mut() {
            if client.decide_locally(from + ms, &"o".into(), COST) == Decision::Granted {
                spent += f64::from(COST);
            }
        }
    }
    spent
}

/// An organisation sends 12 times its quota while all hosts are cut off from the grantor for a
/// whole window and the grantor grants nothing: the hosts stay within the quota and the allowed
/// excess, and continue to serve.
#[test]
fn all_cut_off() {
    let mut hosts = hosts(HOSTS);
    let spent = spend_locally(&mut hosts, START, 8_000, 86);
    assert!(spent <= RATE * 9.0 + EXCESS, "{spent}");
    assert!(spent >= RATE * 2.0, "hosts must continue to serve: {spent}");
}

/// A sixth of the hosts is cut off for 5.5 s while the grantor grants the full quota to the others.
#[test]
fn some_cut_off() {
    let mut hosts = hosts(HOSTS / 6);
    let spent = spend_locally(&mut hosts, START, 5_500, 86);
    assert!(spent <= EXCESS, "{spent} of {EXCESS}");
}

/// The grantor is killed while the organisation uses half of its quota: nearly all of its requests
/// are served until there is another grantor.
#[test]
fn organisation_below_quota() {
    let mut hosts = hosts(HOSTS);
    for client in &mut hosts {
        client.handle_answer(
            START,
            &"o".into(),
            COST,
            QuotaAnswer::Granted { is_below_quota: true },
        );
    }
    // One request per host in 2 s: 69 times 1,500 tokens, half of the rate.
    let asked = HOSTS as f64 * f64::from(COST);
    let spent = spend_locally(&mut hosts, START + 1_000, 2_000, 2_000);
    assert!(spent >= asked * 0.95, "{spent} of {asked}");
}

/// Without a grantor for some seconds, half of the requests of a small organisation below its quota
/// were refused with `quota_unknown`. A host must accumulate enough of the organisation's rate,
/// some thousand tokens, in the seconds between its requests.
#[test]
fn small_organisation_below_quota() {
    let mut hosts = hosts(HOSTS);
    for client in &mut hosts {
        let unit = QuotaUnit::Tokens { default_tokens: 200 };
        let quota = Quota { unit, rate: 36_000.0, burst: 36_000.0 };
        client.configure(START, &HashMap::from([("o".into(), quota)]));
        client.handle_answer(
            START,
            &"o".into(),
            COST,
            QuotaAnswer::Granted { is_below_quota: true },
        );
    }
    let spent = spend_locally(&mut hosts, START + 3_000, 2_300, 4_000);
    let asked = HOSTS as f64 * f64::from(COST);
    assert!(spent >= asked * 0.95, "{spent} of {asked}");
}

/// The organisation rises to 12 times its quota when the grantor is lost: a window stays within the
/// bound, including what was granted before and is granted after.
#[test]
fn demand_rises_without_grantor() {
    let mut hosts = hosts(HOSTS);
    for client in &mut hosts {
        client.handle_answer(
            START,
            &"o".into(),
            COST,
            QuotaAnswer::Granted { is_below_quota: true },
        );
    }
    let gap_ms = 2_300;
    let spent = spend_locally(&mut hosts, START, gap_ms, 86);
    let granted = RATE + RATE * (BOUNDS.window_ms - gap_ms) as f64 / 1_000.0;
    assert!(spent + granted <= RATE * 9.0 + EXCESS, "{spent} locally, {granted} granted");
}

#[test]
fn silent_grantor() {
    let mut client = hosts(1).remove(0);
    let organisation: Name = "o".into();
    assert_eq!(client.authority(START, &organisation), Authority::Local, "no grantor is known yet");
    client.set_grantor(Some("h1".into()));
    assert_eq!(client.authority(START, &organisation), Authority::Grantor("h1".into()));
    let _ = client.handle_no_answer(START, &"h1".into(), &organisation, COST);
    assert_eq!(client.authority(START + 100, &organisation), Authority::Local);
    assert_eq!(
        client.authority(START + 300, &organisation),
        Authority::Grantor("h1".into()),
        "asked again"
    );
    let _ = client.handle_no_answer(START + 300, &"h1".into(), &organisation, COST);
    client.set_grantor(Some("h2".into()));
    assert_eq!(
        client.authority(START + 301, &organisation),
        Authority::Grantor("h2".into()),
        "its successor"
    );
}

#[test]
fn costs() {
    let mut client = hosts(1).remove(0);
    assert_eq!(client.cost(&"o".into(), Some(1_630)), Some(1_630));
    assert_eq!(client.cost(&"o".into(), None), Some(200), "a request that states no tokens");
    assert_eq!(client.cost(&"other".into(), None), None, "no quota");
    assert_eq!(client.authority(START, &"other".into()), Authority::Unlimited);
    client.configure(START, &HashMap::new());
    assert_eq!(client.cost(&"o".into(), None), None, "the quota was removed");
}

/// The store loses the keys of all hosts while the grantor is lost: each host knows only itself,
/// but all of them run.
#[test]
fn host_keys_lost() {
    let mut hosts = hosts(HOSTS);
    hosts.iter_mut().for_each(|client| client.set_hosts(START, 1));
    let spent = spend_locally(&mut hosts, START, 8_000, 86);
    assert!(spent <= RATE * 9.0 + EXCESS, "{spent}");
}

/// A host that has just started knows no other host.
#[test]
fn host_just_started() {
    let mut client = QuotaClient::new(BOUNDS, 1);
    client.set_hosts(START, 1);
    client.configure(START, &quotas());
    let spent = spend_locally(std::slice::from_mut(&mut client), START, 8_000, 10);
    assert!(spent <= (RATE * 8.0 * 0.3 + EXCESS) / 8.0 + f64::from(COST), "{spent}");
}
