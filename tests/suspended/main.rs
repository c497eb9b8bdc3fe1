//! A host whose machine was suspended: its steady clock does not count that time.
//!
//! A host stood still for eight seconds, and the store had been silent since before. A key was taken away meanwhile,
//! and the host went on using it for 3.3 s after it woke: the age of what it knew was measured by a clock that had
//! stood still with it, so that it took eight seconds and a half for half a second. By a clock that counts
//! suspensions the first request after it is refused, and the host notices how long it stood still:
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
/// The host is suspended for so long.
const SUSPENDED: Duration = Duration::from_secs(8);
/// It is asked for so long after it went on, and so often.
const ASKED: Duration = Duration::from_secs(6);
const LOOK: Duration = Duration::from_millis(20);
/// It serves again within this time where the store answers.
const SERVING: Duration = Duration::from_millis(1_500);
/// What was sent just before may be on its way for so long.
const WOKEN: Duration = Duration::from_millis(250);

/// Builds what leaves the time of a suspension out of the steady clock.
fn preload(directory: &Path) -> PathBuf {
    let source = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/suspended/preload.rs");
    let library = directory.join("libsteady.so");
    let compiler = std::env::var_os("RUSTC").unwrap_or_else(|| "rustc".into());
    let status = Command::new(compiler)
        .args(["--edition", "2024", "--crate-type", "cdylib", "-o"])
        .args([&library, &source])
        .status();
    assert!(status.is_ok_and(|status| status.success()), "it can be built");
    library
}

fn organisation(keys: &[&str]) -> serde_json::Value {
    json!({ "name": "acme", "api_keys": keys, "priority": 1 })
}

/// A host that is suspended, with both keys known, while the second one is taken away and `store` does what it does.
struct Scene {
    deployment: Deployment,
    host: Host,
    woken: Instant,
}

impl Scene {
    fn play(store: StoreMode) -> Self {
        let directory = tempfile::tempdir().expect("a directory");
        let library = preload(directory.path());
        let deployment = Deployment::start();
        deployment.configure_organisations(2, &[organisation(&KEYS)]);
        let host = deployment.strict_host_with_env("front-0", &[("LD_PRELOAD", &library)]);
        let mut scene = Self { deployment, host, woken: Instant::now() };
        assert_eq!(scene.check("before", KEYS[1]), 200);
        scene.host.signal("STOP");
        scene.deployment.store.set_mode(store);
        scene.deployment.configure_organisations(3, &[organisation(&KEYS[..1])]);
        sleep(SUSPENDED);
        scene.host.signal("CONT");
        scene.woken = Instant::now();
        scene
    }

    fn check(&self, id: &str, key: &str) -> u16 {
        let client = Client::new("GET", "/check/1", id).deadline(1_000);
        client.with("Authorization", &format!("Bearer {key}")).send(self.host.front).status
    }

    /// Asks with a key for a while; when it was first and last used, counted from the moment at which the host went on.
    fn used(&self, key: &str) -> Option<(Duration, Duration)> {
        let mut used: Option<(Duration, Duration)> = None;
        let mut number = 0;
        while self.woken.elapsed() < ASKED {
            number += 1;
            let asked = self.woken.elapsed();
            if self.check(&format!("after-{number}"), key) == 200 {
                used = Some((used.map_or(asked, |(first, _)| first), asked));
            }
            sleep(LOOK);
        }
        used
    }
}

/// Nobody can tell the host that the key was taken away: it knows that it can't know.
#[test]
fn taken_away_key() {
    let scene = Scene::play(StoreMode::Silent);
    let used = scene.used(KEYS[1]);
    assert!(used.is_none_or(|(_, last)| last < WOKEN), "used {used:?} after the host went on");
}

/// The store is there: the host asks it at once, and serves those whose keys hold.
#[test]
fn other_key() {
    let scene = Scene::play(StoreMode::Serving);
    let used = scene.used(KEYS[0]);
    assert!(used.is_some_and(|(first, _)| first < SERVING), "{used:?}");
    assert_ne!(scene.check("taken", KEYS[1]), 200);
}
