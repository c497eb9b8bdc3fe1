//! A host whose machine was suspended: its monotonic clock does not count that time.
//!
//! Guards against a host that accepts a revoked key after a suspension, because it measures the age of its
//! data by a clock that stood still as well. By a clock that counts suspensions, the first request after
//! the suspension is refused, and the host logs its duration:
//!
//! `event=request_refused request=after-1 cause=unconfirmed verdict=not-run version=2 retry_after_ms=500`
//! `event=host_stalled gap_ms=8023`

#[path = "../gateway/mod.rs"]
mod gateway;

use gateway::{Deployment, Host};
use serde_json::json;
use std::{
    path::{Path, PathBuf},
    process::Command,
    thread::sleep,
    time::{Duration, Instant},
};
use vanetally_platform_standin::{Client, StoreMode};

const KEYS: [&str; 2] = ["key-of-acme-1f00", "key-of-acme-2f00"];
/// Duration of the suspension.
const SUSPENSION: Duration = Duration::from_secs(8);
/// Time after the resumption in which requests are sent.
const REQUEST_TIME: Duration = Duration::from_secs(6);
/// Pause between these requests.
const REQUEST_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum time after the resumption until the host serves again if the store answers.
const MAX_SERVING_TIME: Duration = Duration::from_millis(1_500);
/// Time after the resumption in which requests in flight may still be served.
const IN_FLIGHT_TIME: Duration = Duration::from_millis(250);

/// Builds the library that leaves the time of a suspension out of the monotonic clock.
fn build_preload(directory: &Path) -> PathBuf {
    let source = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/suspended/preload.rs");
    let library = directory.join("libsteady.so");
    let compiler = std::env::var_os("RUSTC").unwrap_or_else(|| "rustc".into());
    let status = Command::new(compiler)
        .args(["--edition", "2024", "--crate-type", "cdylib", "-o"])
        .args([&library, &source])
        .status();
    assert!(status.is_ok_and(|status| status.success()), "the library is built");
    library
}

fn organisation(keys: &[&str]) -> serde_json::Value {
    json!({ "name": "acme", "api_keys": keys, "priority": 1 })
}

/// A host that knows both keys and was suspended while the second one was revoked.
struct Scenario {
    deployment: Deployment,
    host: Host,
    resumed: Instant,
}

impl Scenario {
    /// Runs the scenario with the store in the mode `store` from the suspension on.
    fn run(store: StoreMode) -> Self {
        let directory = tempfile::tempdir().expect("a directory");
        let library = build_preload(directory.path());
        let deployment = Deployment::start();
        deployment.configure_organisations(2, &[organisation(&KEYS)]);
        let host = deployment.strict_host_with_env("front-0", &[("LD_PRELOAD", &library)]);
        let mut scenario = Self { deployment, host, resumed: Instant::now() };
        assert_eq!(scenario.check("before", KEYS[1]), 200);
        scenario.host.signal("STOP");
        scenario.deployment.store.set_mode(store);
        scenario.deployment.configure_organisations(3, &[organisation(&KEYS[..1])]);
        sleep(SUSPENSION);
        scenario.host.signal("CONT");
        scenario.resumed = Instant::now();
        scenario
    }

    fn check(&self, id: &str, key: &str) -> u16 {
        let client = Client::new("GET", "/check/1", id).deadline(1_000);
        client.with("Authorization", &format!("Bearer {key}")).send(self.host.front).status
    }

    /// Sends requests with a key for a while; returns when the first and the last one were served, as time
    /// after the resumption.
    fn served(&self, key: &str) -> Option<(Duration, Duration)> {
        let mut served: Option<(Duration, Duration)> = None;
        let mut number = 0;
        while self.resumed.elapsed() < REQUEST_TIME {
            number += 1;
            let sent = self.resumed.elapsed();
            if self.check(&format!("after-{number}"), key) == 200 {
                served = Some((served.map_or(sent, |(first, _)| first), sent));
            }
            sleep(REQUEST_INTERVAL);
        }
        served
    }
}

/// The host cannot learn that the key was revoked, and therefore refuses it.
#[test]
fn revoked_key() {
    let scenario = Scenario::run(StoreMode::Silent);
    let served = scenario.served(KEYS[1]);
    assert!(
        served.is_none_or(|(_, last)| last < IN_FLIGHT_TIME),
        "served {served:?} after the resumption"
    );
}

/// The store answers: the host reads it at once, and serves requests with valid keys.
#[test]
fn valid_key() {
    let scenario = Scenario::run(StoreMode::Serving);
    let served = scenario.served(KEYS[0]);
    assert!(served.is_some_and(|(first, _)| first < MAX_SERVING_TIME), "{served:?}");
    assert_ne!(scenario.check("taken", KEYS[1]), 200);
}
