//! Organisations: keys, revoked keys and quotas, as callers and runners see them.

mod gateway;

use gateway::{Deployment, Host, wait_for, wait_for_holder};
use serde_json::{Value, json};
use std::time::{Duration, Instant};
use vanetally_platform_standin::{Client, ClientAnswer, StoreMode};

/// Keys, which no log line may contain.
const KEYS: [&str; 3] = ["key-of-acme-1f00", "key-of-acme-2f00", "key-of-other-3f00"];

fn acme(keys: &[&str], rate: u32) -> Value {
    json!({
        "name": "acme", "api_keys": keys, "priority": 1, "unit": "tokens", "plain_tokens": 200,
        "rate_per_s": rate, "burst_size": rate,
    })
}

fn other() -> Value {
    json!({ "name": "other", "api_keys": [KEYS[2]], "priority": 1 })
}

fn check(host: &Host, id: &str, key: Option<&str>) -> ClientAnswer {
    let client = Client::new("GET", "/check/1", id).with("X-Tenant", "mallory");
    let client = match key {
        Some(key) => client.with("authorization", &format!("bearer {key}")),
        None => client,
    };
    client.send(host.front)
}

fn count_status(answers: &[ClientAnswer], status: u16) -> usize {
    answers.iter().filter(|answer| answer.status == status).count()
}

fn assert_no_key_logged(deployment: &Deployment) {
    for (name, log) in deployment.logs() {
        for key in KEYS {
            assert!(!log.contains(key), "{name} contains a key");
        }
    }
}

#[test]
fn keys() {
    let deployment = Deployment::start();
    deployment.configure_organisations(2, &[acme(&KEYS[..2], 0), other()]);
    let host = deployment.host("front-0");
    let served = check(&host, "a", Some(KEYS[0]));
    assert_eq!(served.status, 200);
    let request =
        deployment.desks[0].requests().into_iter().find(|r| r.header("x-attempt-id") == Some("a"));
    let request = request.expect("the runner's request");
    assert_eq!(request.header("x-tenant"), Some("acme"), "whatever the caller claims");
    assert_eq!(request.header("authorization"), None);
    let unknown = check(&host, "b", Some("no-such-key"));
    assert_eq!(unknown.status, 401);
    assert_eq!(unknown.header("www-authenticate"), Some("Bearer"));
    assert_eq!(check(&host, "c", None).status, 401);
    assert_eq!(Client::new("GET", "/open/1", "d").send(host.front).status, 200);
    drop(host);
    assert_no_key_logged(&deployment);
}

#[test]
fn revoked_key() {
    let deployment = Deployment::start();
    deployment.configure_organisations(2, &[acme(&KEYS[..2], 0)]);
    let host = deployment.host("front-0");
    assert_eq!(check(&host, "a", Some(KEYS[1])).status, 200);
    deployment.configure_organisations(3, &[acme(&KEYS[..1], 0)]);
    wait_for("the revoked key is refused", || check(&host, "b", Some(KEYS[1])).status == 401);
    assert_eq!(check(&host, "c", Some(KEYS[0])).status, 200, "the other key is still valid");
}

/// The store is silent and a key is revoked meanwhile: the host accepts no key for longer than the bound,
/// is not ready then, and serves again soon after the return of the store.
#[test]
fn silent_store() {
    let deployment = Deployment::start();
    deployment.configure_organisations(2, &[acme(&KEYS[..2], 0)]);
    let host = deployment.strict_host("front-0");
    assert_eq!(check(&host, "a", Some(KEYS[0])).status, 200);
    deployment.store.set_mode(StoreMode::Silent);
    let silenced = Instant::now();
    wait_for("the host is not ready", || !host.is_ready());
    assert!(silenced.elapsed() < Duration::from_millis(5_000), "{:?}", silenced.elapsed());
    assert!(silenced.elapsed() > Duration::from_millis(2_000), "{:?}", silenced.elapsed());
    let refused = check(&host, "b", Some(KEYS[0]));
    assert_eq!(refused.status, 503);
    assert!(refused.header("retry-after").is_some());
    assert_eq!(check(&host, "c", Some("no-such-key")).status, 503, "the key may be a new one");
    assert_eq!(Client::new("GET", "/open/1", "d").send(host.front).status, 200);
    deployment.store.set_mode(StoreMode::Serving);
    let returned = Instant::now();
    wait_for("the key is accepted again", || check(&host, "e", Some(KEYS[0])).status == 200);
    assert!(returned.elapsed() < Duration::from_millis(1_500), "{:?}", returned.elapsed());
}

/// An organisation far above its quota receives no more than that over three hosts, and other
/// organisations are not affected.
#[test]
fn quota_across_hosts() {
    let deployment = Deployment::start();
    deployment.configure_organisations(2, &[acme(&KEYS[..2], 4_000), other()]);
    let hosts = ["front-0", "front-1", "front-2"].map(|name| deployment.host(name));
    wait_for_holder(&hosts);
    let began = Instant::now();
    let mut answers = Vec::new();
    let mut others = Vec::new();
    for number in 0..150 {
        let host = &hosts[number % hosts.len()];
        answers.push(check(host, &format!("a{number}"), Some(KEYS[0])));
        if number % 10 == 0 {
            others.push(check(host, &format!("o{number}"), Some(KEYS[2])));
        }
    }
    let max = (began.elapsed().as_secs_f64() + 1.0) * 4_000.0 / 200.0 + 3.0;
    let (served, refused) = (count_status(&answers, 200), count_status(&answers, 429));
    assert!(served as f64 <= max, "{served} served, {max} allowed");
    assert!(served >= 15, "{served} served, less than the burst");
    assert_eq!(served + refused, answers.len(), "{answers:?}");
    let refusal =
        answers.iter().find(|answer| answer.status == 429).expect("a refusal beyond the quota");
    assert!(refusal.header("retry-after").is_some());
    assert_eq!(count_status(&others, 200), others.len(), "no quota applies to them");
    drop(hosts);
    assert_no_key_logged(&deployment);
}

/// The store is silent for longer than the order lease: no other host can take it over, and the grantor
/// continues to grant quotas.
#[test]
fn quota_without_store() {
    let deployment = Deployment::start();
    deployment.configure_organisations(2, &[acme(&KEYS[..2], 4_000)]);
    let hosts = ["front-0", "front-1"].map(|name| deployment.host(name));
    wait_for_holder(&hosts);
    deployment.store.set_mode(StoreMode::Silent);
    let silenced = Instant::now();
    let mut late = Vec::new();
    let mut number = 0;
    while silenced.elapsed() < Duration::from_secs(6) {
        number += 1;
        let answer = check(&hosts[number % 2], &format!("a{number}"), Some(KEYS[0]));
        if silenced.elapsed() > Duration::from_secs(4) {
            late.push(answer);
        }
        std::thread::sleep(Duration::from_millis(120));
    }
    let served = count_status(&late, 200);
    assert!(served * 10 >= late.len() * 9, "{served} of {} within the quota", late.len());
}
