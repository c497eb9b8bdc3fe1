//! A host whose machine was suspended: its steady clock does not count that time.
//!
//! A host stood still for eight seconds, and the store had been silent since before. A key was taken away meanwhile,
//! and the host went on using it for 3.3 s after it woke: the age of what it knew was measured by a clock that had
//! stood still with it, so that it took eight seconds and a half for half a second.

#[path = "../gateway/mod.rs"]
mod gateway;

use gateway::Deployment;
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

/// When a key that was taken away was last used, counted from the moment at which the host went on.
#[test]
fn taken_away_key() {
    let directory = tempfile::tempdir().expect("a directory");
    let library = preload(directory.path());
    let deployment = Deployment::start();
    deployment.configure_organisations(2, &[organisation(&KEYS)]);
    let host = deployment.strict_host_in("front-0", &[("LD_PRELOAD", &library)]);
    let check = |id: &str| {
        let client = Client::new("GET", "/check/1", id).deadline(1_000);
        client.with("Authorization", &format!("Bearer {}", KEYS[1])).send(host.front).status
    };
    assert_eq!(check("before"), 200);
    deployment.store.set_mode(StoreMode::Silent);
    deployment.configure_organisations(3, &[organisation(&KEYS[..1])]);
    host.signal("STOP");
    sleep(SUSPENDED);
    host.signal("CONT");
    let woken = Instant::now();
    let mut last = Duration::ZERO;
    let mut number = 0;
    while woken.elapsed() < Duration::from_secs(6) {
        number += 1;
        let asked = woken.elapsed();
        if check(&format!("after-{number}")) == 200 {
            last = asked;
        }
        sleep(Duration::from_millis(20));
    }
    assert!(last < WOKEN, "used {last:?} after the host went on");
}
