//! Callers of the daemon that do not behave, many at once.
//!
//! Guards against hosts that hold more for their callers than the memory of their machine.

#[path = "support/crowd.rs"]
mod crowd;
mod support;
#[path = "support/usage.rs"]
mod usage;

use crowd::{Crowd, Script, chunks};
use rstest::rstest;
use serde_json::json;
use std::{
    sync::{Mutex, MutexGuard, PoisonError},
    thread,
    time::Duration,
};
use support::{Site, SiteOptions, wait_for};
use usage::Usage;

const CROWD: usize = 150;
const RESTING: usize = 3_000;
/// Descriptors that callers may take of the 4,096 that a host is taken to have.
const CALLER_FDS: usize = 2_048;
/// Maximum size of a body.
const BODY_BYTES: usize = 4 << 20;
/// Memory of the host's machine: less than the bodies of a crowd.
const MEMORY_BYTES: u64 = 256_000_000;
/// Descriptors that may still be in use after a crowd, besides those of before.
const SPARE_FDS: usize = 16;

fn start() -> (Site, Usage) {
    let limits = json!({ "body": format!("{BODY_BYTES}B") });
    let site = Site::start(SiteOptions { hosts: 1, limits, ..SiteOptions::default() });
    let host = &site.hosts[0];
    let front = host.url.trim_start_matches("http://").parse().expect("an address");
    let usage = Usage { process: host.process.0.id(), front };
    (site, usage)
}

fn with_key(script: Script) -> Script {
    let headers = format!("{}Authorization: Bearer desk-token\r\n", script.headers);
    Script { path: "/services/read/x", headers, ..script }
}

/// Lets a crowd send until the host uses no more time for it.
fn settle(usage: Usage, crowd: &mut Crowd) {
    wait_for("the host has done what it does", || {
        let before = usage.processor_ticks();
        crowd.settle();
        thread::sleep(Duration::from_millis(200));
        usage.processor_ticks() - before <= 15
    });
}

fn large_chunk() -> Script {
    let mut body = format!("{BODY_BYTES:x}\r\n").into_bytes();
    body.extend(vec![b'x'; BODY_BYTES - 1]);
    Script::in_chunks(body)
}

/// A head of which one line does not end.
fn long_head() -> Script {
    let headers = format!("X-Long: {}", "x".repeat(BODY_BYTES));
    Script { headers, ..Script::with_length(0, 0) }
}

/// Crowds come one at a time: each uses much of the test's machine.
fn alone() -> MutexGuard<'static, ()> {
    static TURN: Mutex<()> = Mutex::new(());
    TURN.lock().unwrap_or_else(PoisonError::into_inner)
}

#[rstest]
#[case::short(with_key(Script::with_length(BODY_BYTES, BODY_BYTES - 1)))]
#[case::tiny_chunks(with_key(Script::in_chunks(chunks(400_000, 1))))]
#[case::large_chunk(with_key(large_chunk()))]
#[case::announced(with_key(Script::with_length(64 * BODY_BYTES, BODY_BYTES)))]
#[case::endless_chunks(with_key(Script::in_chunks(chunks(2 * BODY_BYTES, 32_768))))]
#[case::long_heads(long_head())]
fn daemon_outlives_a_crowd(#[case] script: Script) {
    let _turn = alone();
    let (mut site, usage) = start();
    let calm_fds = usage.descriptors();
    let mut crowd = Crowd::connect(usage.front, CROWD, &script);
    settle(usage, &mut crowd);
    assert!(site.hosts[0].process.0.try_wait().expect("waited").is_none(), "the process lives");
    let (peak, memory) = (usage.peak_memory(), usage.memory());
    let (unread, unsent) = (usage.unread(), usage.unsent());
    println!("peak {peak}, now {memory}, unread {unread}, unsent {unsent}");
    assert!(peak <= MEMORY_BYTES, "{peak} bytes at the peak");
    let all = memory + unread + unsent;
    assert!(all <= MEMORY_BYTES, "{memory} bytes, {unread} unread and {unsent} unsent");
    let is_served = || site.hosts[0].service("read/x", &[], "ordinary").status == 200;
    assert!(is_served(), "an ordinary request is served");
    drop(crowd);
    wait_for("descriptors are free again", || usage.descriptors() <= calm_fds + SPARE_FDS);
    wait_for("memory is free again", || usage.memory() <= MEMORY_BYTES / 2);
    assert!(is_served(), "an ordinary request is served");
}

#[test]
fn connections_to_the_daemon_leave_descriptors() {
    let _turn = alone();
    let (site, usage) = start();
    let calm_fds = usage.descriptors();
    let silent = Script { piece: 0, ..Script::with_length(0, 0) };
    let crowd = Crowd::connect(usage.front, RESTING, &silent);
    thread::sleep(Duration::from_secs(1));
    let is_served = |id: &str| site.hosts[0].service("read/x", &[], id).status == 200;
    assert!(is_served("during"), "an ordinary request is served");
    let (descriptors, memory) = (usage.descriptors(), usage.peak_memory());
    println!("descriptors {descriptors}, peak {memory}");
    assert!(descriptors <= CALLER_FDS + calm_fds + SPARE_FDS, "{descriptors} descriptors");
    assert!(memory <= MEMORY_BYTES, "{memory} bytes at the peak");
    drop(crowd);
    wait_for("descriptors are free again", || usage.descriptors() <= calm_fds + SPARE_FDS);
    assert!(is_served("after"), "an ordinary request is served");
}
