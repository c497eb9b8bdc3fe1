//! Invariants that hold when real processes are killed, paused, cut off or race each other.
//!
//! They are checked with the counters of the stand-ins: runs of each id, memory, and requests after
//! leaving.

mod support;

use serde_json::{Value, json};
use std::{
    sync::atomic::{AtomicBool, Ordering},
    thread,
};
use support::{EngineOptions, Host, Site, SiteOptions, call, output_text, wait_for, with_token};

/// Repeats the call until its answer is not a 503, which asks the caller to retry.
fn final_answer(host: &Host, key: &str) -> (u16, Option<String>) {
    let mut last = (0, None);
    wait_for("a final answer", || {
        let Ok(answer) = host.try_service("book/offer", key) else { return false };
        last = (answer.status, answer.verdict().map(str::to_owned));
        answer.status != 503
    });
    last
}

fn holds_all_slots(host: &Host) -> bool {
    let slots = host.state()["slots"].as_array().cloned().unwrap_or_default();
    slots.iter().all(|s| s["role"] == "holder")
}

fn count_slots(host: &Host, field: &str, value: &str) -> usize {
    let slots = host.state()["slots"].as_array().cloned().unwrap_or_default();
    slots.iter().filter(|s| s[field] == value).count()
}

#[test]
fn killed_host() {
    let mut site = Site::start(SiteOptions { service_time_ms: 1_500, ..SiteOptions::default() });
    let keys: Vec<String> = (0..8).map(|n| format!("offer-{n}")).collect();
    let first = &site.hosts[0];
    thread::scope(|scope| {
        for key in &keys {
            // The callers of the killed host receive no answer or an error.
            scope.spawn(|| first.try_service("book/offer", key).map(|a| a.status));
        }
        wait_for("all offers to run", || keys.iter().all(|key| site.service.runs(key) == 1));
        site.hosts[0].process.signal("-KILL");
    });
    site.hosts[0].process.kill();
    for key in &keys {
        let (status, verdict) = final_answer(&site.hosts[1], key);
        assert!(verdict.as_deref() != Some("not-run"), "{key}: {status} {verdict:?}");
        assert_eq!(site.service.runs(key), 1, "{key} runs once");
    }
    wait_for("the slots to move", || holds_all_slots(&site.hosts[1]));
    assert_eq!(final_answer(&site.hosts[1], "fresh").0, 200, "new ids run at once");
}

#[test]
fn lost_answer() {
    let site = Site::start(SiteOptions::default());
    site.service.fault(json!({"lose_answers": 1}));
    let answer = site.hosts[0].service("book/offer", &[("Idempotency-Key", "offer")], "1 MW");
    // An error of the service is a final answer: the request ran, and a repeat receives the same answer.
    assert_eq!(answer.status, 500);
    let repeat = site.hosts[1].service("book/offer", &[("Idempotency-Key", "offer")], "1 MW");
    assert_eq!((repeat.status, repeat.header("x-replayed")), (500, Some("true")));
    assert_eq!(site.service.runs("offer"), 1);
}

#[test]
fn unreachable_upstream() {
    let mut site = Site::start(SiteOptions::default());
    site.service.process.kill();
    let answer = site.hosts[0].service("book/offer", &[("Idempotency-Key", "offer")], "1 MW");
    assert_eq!((answer.status, answer.verdict()), (503, Some("not-run")));
    assert!(answer.header("retry-after").is_some());
}

#[test]
fn killed_upstream() {
    let mut site = Site::start(SiteOptions { service_time_ms: 20_000, ..SiteOptions::default() });
    let host = &site.hosts[0];
    let answer = thread::scope(|scope| {
        let waiting = scope.spawn(|| host.try_service("book/offer", "offer"));
        wait_for("the offer to run", || site.service.runs("offer") == 1);
        site.service.process.kill();
        waiting.join().expect("joined")
    });
    let answer = answer.expect("an answer");
    assert_eq!((answer.status, answer.verdict()), (502, Some("may-have-run")));
}

#[test]
fn platform_outage() {
    let mut site = Site::start(SiteOptions::default());
    site.platform.fault(json!({"down": true}));
    for n in 0..12 {
        let key = format!("offer-{n}");
        let (a, b) = (n % 2, (n + 1) % 2);
        let first = final_answer(&site.hosts[a], &key);
        let second = final_answer(&site.hosts[b], &key);
        assert_eq!((first.0, second.0), (200, 200), "{key} during the outage");
        assert_eq!(site.service.runs(&key), 1, "{key} runs once");
    }
    for model in site.model_names() {
        let body = json!({"model": model, "prompt": "x", "max_tokens": 1});
        assert_eq!(site.hosts[0].complete(body, &[]).status, 200, "{model} during the outage");
    }
    // A host that is replaced now reads its configuration from the other one.
    site.hosts[1].process.kill();
    site.restart_host(1);
    assert_eq!(site.hosts[1].state()["config"]["source"], "peer");
    // Requests that the replaced host may have granted from memory do not run again.
    for n in 0..12 {
        let key = format!("offer-{n}");
        let Ok(answer) = site.hosts[1].try_service("book/offer", &key) else { continue };
        assert_ne!(answer.verdict(), Some("not-run"), "{key}");
        assert_eq!(site.service.runs(&key), 1, "{key} runs once");
    }
    site.platform.fault(json!({"down": false}));
    wait_for("everything to be recorded", || {
        site.hosts
            .iter()
            .all(|h| count_slots(h, "mode", "memory") + count_slots(h, "mode", "asking") == 0)
    });
    for n in 0..12 {
        let key = format!("offer-{n}");
        let (status, verdict) = final_answer(&site.hosts[n % 2], &key);
        assert_ne!(verdict.as_deref(), Some("not-run"), "{key}: {status}");
        assert_eq!(site.service.runs(&key), 1, "{key} runs once");
    }
}

#[test]
fn paused_host() {
    let site = Site::start(SiteOptions::default());
    site.hosts[0].process.signal("-STOP");
    wait_for("the other host to hold all slots", || holds_all_slots(&site.hosts[1]));
    let mut catalog = site.catalog.clone();
    let model = json!({"name": "late", "versions": [{"name": "v1", "size": "12GiB"}],
        "labels": {"kind": "deadline"}});
    catalog["models"].as_array_mut().expect("a list").push(model);
    assert!(site.apply(&catalog, &[]).status.success());
    let body = json!({"model": "late", "prompt": "x", "max_tokens": 1});
    wait_for("the new model", || site.hosts[1].complete(body.clone(), &[]).status == 200);
    assert_eq!(final_answer(&site.hosts[1], "offer").0, 200);
    site.hosts[0].process.signal("-CONT");
    wait_for("the paused host to catch up", || {
        count_slots(&site.hosts[0], "role", "holder") == 0
            && site.hosts[0].state()["config"]["revision"] == 2
    });
    assert_eq!(final_answer(&site.hosts[0], "offer").0, 200);
    assert_eq!(site.service.runs("offer"), 1);
    assert_eq!(site.overcommits(), 0);
}

#[test]
fn delayed_order() {
    let unfenced = EngineOptions { fenced: false, ..EngineOptions::default() };
    let site = Site::start(SiteOptions { engines: vec![unfenced; 2], ..SiteOptions::default() });
    for engine in &site.engines {
        engine.fault(json!({"late_requests": 1, "late_ms": 2_500}));
    }
    let mut catalog = site.catalog.clone();
    let model = json!({"name": "late", "versions": [{"name": "v1", "size": "12GiB"}],
        "labels": {"kind": "deadline"}});
    catalog["models"].as_array_mut().expect("a list").push(model);
    assert!(site.apply(&catalog, &[]).status.success());
    let open = |host: &Host| {
        let state = host.state();
        let runners = state["runners"].as_array().cloned().unwrap_or_default();
        runners.iter().filter_map(|r| r["open_orders"].as_u64()).sum::<u64>()
    };
    wait_for("an order without answer", || site.hosts.iter().any(|h| open(h) > 0));
    // The leader is paused, and the other host takes over while the order is still in flight.
    let leader = site.hosts.iter().position(|h| open(h) > 0).expect("a leader");
    site.hosts[leader].process.signal("-STOP");
    let other = &site.hosts[1 - leader];
    wait_for("another leader", || {
        let groups = other.state()["groups"].as_array().cloned().unwrap_or_default();
        groups.iter().all(|g| g["role"] == "holder")
    });
    // The plan now has another model in the place of the one being loaded.
    let models = catalog["models"].as_array_mut().expect("a list");
    models.pop();
    models.push(json!({"name": "other", "versions": [{"name": "v1", "size": "14GiB"}],
        "labels": {"kind": "deadline"}}));
    assert!(site.apply(&catalog, &[]).status.success());
    wait_for("the delayed order to arrive", || {
        site.engines.iter().any(|e| e.stats()["resident"].to_string().contains("late@v1"))
    });
    site.hosts[leader].process.signal("-CONT");
    for model in ["ladder", "summary", "tagger"] {
        let body = json!({"model": model, "prompt": "x", "max_tokens": 1});
        assert_eq!(other.complete(body, &[]).status, 200, "{model} stays reachable");
    }
    assert_eq!(site.overcommits(), 0);
}

#[test]
fn moved_models() {
    // Load requests and their answers are lost while the catalog changes.
    let engines =
        vec![EngineOptions::default(), EngineOptions { fenced: false, ..EngineOptions::default() }];
    let site = Site::start(SiteOptions { engines, ..SiteOptions::default() });
    let fault = json!({"lose_requests": 1, "lose_answers": 2});
    site.engines.iter().for_each(|e| e.fault(fault.clone()));
    let mut catalog = site.catalog.clone();
    catalog["models"][2]["versions"] = json!([{"name": "v2", "size": "14GiB"}]);
    assert!(site.apply(&catalog, &[]).status.success());
    wait_for("the new version", || {
        let body = json!({"model": "tagger", "prompt": "x", "max_tokens": 1});
        let answer = site.hosts[0].complete(body, &[]);
        answer.status == 200 && answer.json()["model"] == "tagger@v2"
    });
    for model in ["ladder", "summary"] {
        let body = json!({"model": model, "prompt": "x", "max_tokens": 1});
        assert_eq!(site.hosts[1].complete(body, &[]).status, 200, "{model}");
    }
    assert_eq!(site.overcommits(), 0);
}

#[test]
fn leaving_runner() {
    let engine = EngineOptions { capacity_gib: 48, token_ms: 5, ..EngineOptions::default() };
    let site = Site::start(SiteOptions { engines: vec![engine; 2], ..SiteOptions::default() });
    let body = json!({"model": "ladder", "prompt": "x", "max_tokens": 400, "stream": true});
    thread::scope(|scope| {
        let streams: Vec<_> = (0..6)
            .map(|n| {
                let (host, body) = (&site.hosts[n % 2], body.clone());
                scope.spawn(move || host.complete(body, &[]).body)
            })
            .collect();
        wait_for("streams on a runner", || site.engines.iter().any(|e| e.stats()["requests"] != 0));
        site.engines[0].fault(json!({"leaving": true}));
        let is_informed = |h: &Host| {
            let runners = h.state()["runners"].as_array().cloned().unwrap_or_default();
            runners.iter().any(|r| r["name"] == "runner-1" && r["leaving"] == true)
        };
        wait_for("both hosts to learn of it", || site.hosts.iter().all(is_informed));
        let before = site.engines[0].stats()["requests"].as_u64();
        for model in site.model_names() {
            let body = json!({"model": model, "prompt": "x", "max_tokens": 1});
            wait_for(&format!("{model} elsewhere"), || {
                site.hosts.iter().all(|h| h.complete(body.clone(), &[]).status == 200)
            });
        }
        assert_eq!(site.engines[0].stats()["requests"].as_u64(), before, "no new work");
        for stream in streams {
            let body = stream.join().expect("joined");
            assert!(body.trim_end().ends_with("data: [DONE]"), "a stream was cut");
        }
    });
}

#[test]
fn graceful_stop() {
    let engine = EngineOptions { token_ms: 10, ..EngineOptions::default() };
    let mut site = Site::start(SiteOptions { engines: vec![engine; 2], ..SiteOptions::default() });
    let answer = site.hosts[0].service("book/offer", &[("Idempotency-Key", "offer")], "1 MW");
    assert_eq!(answer.status, 200);
    let stopped = &site.hosts[0];
    let before: u64 = site.engines.iter().filter_map(|e| e.stats()["requests"].as_u64()).sum();
    thread::scope(|scope| {
        let streams: Vec<_> = (0..6)
            .map(|_| {
                let body =
                    json!({"model": "ladder", "prompt": "x", "max_tokens": 400, "stream": true});
                scope.spawn(move || stopped.complete(body, &[]).body)
            })
            .collect();
        let requests = |e: &support::StandIn| e.stats()["requests"].as_u64().unwrap_or(0);
        wait_for("streams in progress", || {
            site.engines.iter().map(requests).sum::<u64>() >= before + 6
        });
        stopped.process.signal("-TERM");
        wait_for("the host to report not ready", || !stopped.is_ready());
        for stream in streams {
            let body = stream.join().expect("joined");
            assert!(body.trim_end().ends_with("data: [DONE]"), "a stream was cut");
        }
    });
    assert_eq!(site.hosts[0].process.exit_code(), 0);
    wait_for("the slots to be handed over", || holds_all_slots(&site.hosts[1]));
    assert_eq!(site.hosts[1].state()["slots"][0]["doubts"], json!([]));
    let repeat = site.hosts[1].service("book/offer", &[("Idempotency-Key", "offer")], "1 MW");
    assert_eq!(repeat.header("x-replayed"), Some("true"), "the stored answer was handed over too");
    assert_eq!(site.service.runs("offer"), 1);
}

#[test]
fn racing_operators() {
    let site = Site::start(SiteOptions::default());
    let with_price = |price: u32| {
        let mut catalog = site.catalog.clone();
        catalog["move_price"] = json!(price);
        catalog
    };
    // One of the two writes takes effect, and its answer is lost.
    site.platform.fault(json!({"lose_answers": 1}));
    let (a, b) = thread::scope(|scope| {
        let a = scope.spawn(|| site.apply(&with_price(7), &["--base", "1", "--change", "a"]));
        let b = scope.spawn(|| site.apply(&with_price(9), &["--base", "1", "--change", "b"]));
        (a.join().expect("joined"), b.join().expect("joined"))
    });
    let won = [a.status.success(), b.status.success()];
    assert_eq!(won.iter().filter(|w| **w).count(), 1, "{}{}", output_text(&a), output_text(&b));
    let (winner, loser, price) = if won[0] { ("a", &b, 7) } else { ("b", &a, 9) };
    assert!(output_text(loser).contains(&format!("change {winner}")), "{}", output_text(loser));
    assert!(output_text(loser).contains("move_price"), "the failed operator sees the difference");
    for host in &site.hosts {
        wait_for("the revision to be in force", || host.state()["config"]["revision"] == 2);
        let revision = call("GET", &format!("{}/revision", host.admin), &[], &[]).json();
        assert_eq!(revision["catalog"]["move_price"], price);
    }
}

#[test]
fn restored_platform() {
    let mut site = Site::start(SiteOptions::default());
    let post = |path: &str| call("POST", &format!("{}{path}", site.platform.url), &[], &[]).status;
    assert_eq!(post("/snapshot"), 200);
    let mut catalog = site.catalog.clone();
    catalog["move_price"] = json!(7);
    assert!(site.apply(&catalog, &[]).status.success());
    let revision = |host: &Host| host.state()["config"]["revision"].as_u64();
    wait_for("revision 2", || site.hosts.iter().all(|h| revision(h) == Some(2)));
    assert_eq!(post("/restore"), 200);
    wait_for("a host to report it", || {
        site.hosts.iter().any(|h| h.state()["config"]["platform_behind"] == true)
    });
    assert!(
        site.hosts.iter().all(|h| revision(h) == Some(2)),
        "no host applied the older revision"
    );
    // A replaced host reads the old revision and then receives the newer one.
    site.hosts[1].process.kill();
    site.restart_host(1);
    wait_for("the replaced host to catch up", || revision(&site.hosts[1]) == Some(2));
    let admin = site.hosts[0].admin.trim_start_matches("http://").to_owned();
    let restored = site.tool(&["restore", &admin]);
    assert!(restored.status.success(), "{}", output_text(&restored));
    wait_for("the repaired platform", || site.hosts.iter().all(|h| revision(h) == Some(3)));
}

#[test]
fn crossed_answers() {
    let engine = EngineOptions { token_ms: 3, ..EngineOptions::default() };
    let site = Site::start(SiteOptions { engines: vec![engine; 2], ..SiteOptions::default() });
    thread::scope(|scope| {
        for n in 0..60_u64 {
            let host = &site.hosts[(n % 2) as usize];
            scope.spawn(move || {
                let prompt = format!("request {n}");
                let stream = n % 3 == 0;
                let tokens = 1 + (n * 7) % 20;
                let body = json!({"model": "summary", "prompt": prompt, "stream": stream,
                    "max_tokens": tokens});
                let answer = host.complete(body, &[]);
                assert_eq!(answer.status, 200, "{}", answer.body);
                let tag = format!("[{:08x}]", vanetally_types::hash64(prompt.as_bytes()) as u32);
                assert!(answer.body.contains(&tag), "{n} got {}", answer.body);
            });
        }
    });
}

fn stream_of(site: &Site, tokens: u64) -> String {
    let body = json!({"model": "ladder", "prompt": "x", "max_tokens": tokens, "stream": true});
    site.hosts[0].complete(body, &[]).body
}

#[test]
fn broken_stream() {
    let site = Site::start(SiteOptions::default());
    let whole = stream_of(&site, 8);
    let fault = |faults: Value| site.engines.iter().for_each(|e| e.fault(faults.clone()));
    fault(json!({"break_after": 3}));
    assert_eq!(stream_of(&site, 8), whole, "resumed at its offset");
    fault(json!({"break_after": 3, "no_resume": true}));
    let cut = stream_of(&site, 8);
    assert!(cut.contains("stream_broken") && cut.contains("may-have-run"), "{cut}");
    assert!(!cut.contains("[DONE]"), "a cut stream does not look complete");
}

#[test]
fn service_during_host_loss() {
    // Repeatable calls to a service succeed while a host is killed.
    let mut site = Site::start(SiteOptions::default());
    let is_over = AtomicBool::new(false);
    let (remaining, killed) = site.hosts.split_at_mut(1);
    let failures = thread::scope(|scope| {
        let caller = scope.spawn(|| {
            let mut failures = 0;
            let mut calls = 0;
            while !is_over.load(Ordering::Relaxed) || calls < 50 {
                let url = format!("{}/services/read/article", remaining[0].url);
                let answer = call("GET", &url, &with_token(&[]), &[]);
                failures += u32::from(answer.status != 200);
                calls += 1;
            }
            failures
        });
        killed[0].process.kill();
        wait_for("the slots to move", || holds_all_slots(&remaining[0]));
        is_over.store(true, Ordering::Relaxed);
        caller.join().expect("joined")
    });
    assert_eq!(failures, 0);
}
