//! Engines of the daemon whose answers do not end, many at once, at one host of a small machine.
//!
//! Guards against hosts that hold more of such answers together than their memory.

#[path = "support/crowd.rs"]
mod crowd;
mod support;
#[path = "support/usage.rs"]
mod usage;

use crowd::{Crowd, Script};
use rstest::rstest;
use serde_json::json;
use std::{
    sync::{Mutex, MutexGuard, PoisonError},
    thread,
    time::{Duration, Instant},
};
use support::{EngineOptions, Site, SiteOptions, wait_for};
use usage::Usage;

const CALLERS: usize = 500;
/// Memory of the host's machine: less than the answers of the engines.
const MEMORY_BYTES: u64 = 256_000_000;
/// Time without a new peak after which all has been read that is read.
const SETTLED: Duration = Duration::from_secs(4);

/// Sites come one at a time: each uses much of the test's machine.
fn alone() -> MutexGuard<'static, ()> {
    static TURN: Mutex<()> = Mutex::new(());
    TURN.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A request for a completion.
fn completion(is_stream: bool) -> Script {
    let body = json!({ "model": "ladder", "prompt": "x", "max_tokens": 1, "stream": is_stream });
    let body = body.to_string().into_bytes();
    let mut script = Script { path: "/v1/completions", ..Script::with_length(body.len(), 0) };
    script.headers.push_str("Authorization: Bearer desk-token\r\n");
    Script { body: body.into(), ..script }
}

#[rstest]
#[case::whole(false, 30_000_000)]
#[case::event(true, 900_000)]
fn answers_without_end_together(#[case] is_stream: bool, #[case] endless_bytes: usize) {
    let _turn = alone();
    let engine = EngineOptions { slots: CALLERS as u32, ..EngineOptions::default() };
    let options = SiteOptions { hosts: 1, engines: vec![engine; 2], ..SiteOptions::default() };
    let mut site = Site::start(options);
    let host = &site.hosts[0];
    let front = host.url.trim_start_matches("http://").parse().expect("an address");
    let usage = Usage { process: host.process.0.id(), front };
    site.engines.iter().for_each(|engine| engine.fault(json!({ "endless_bytes": endless_bytes })));
    let mut crowd = Crowd::connect(front, CALLERS, &completion(is_stream));
    let (mut highest, mut since) = (0, Instant::now());
    while since.elapsed() < SETTLED && highest <= MEMORY_BYTES {
        if !crowd.step() {
            thread::sleep(Duration::from_millis(5));
        }
        let peak = usage.peak_memory();
        if peak > highest {
            (highest, since) = (peak, Instant::now());
        }
    }
    let (peak, memory) = (usage.peak_memory(), usage.memory());
    println!("peak {peak}, now {memory}, {} callers left", CALLERS - crowd.closed());
    assert!(site.hosts[0].process.0.try_wait().expect("waited").is_none(), "the process lives");
    assert!(peak <= MEMORY_BYTES, "{peak} bytes at the peak");
    site.engines.iter().for_each(|engine| engine.fault(json!({ "endless_bytes": 0 })));
    drop(crowd);
    let body = json!({ "model": "ladder", "prompt": "x", "max_tokens": 1 });
    wait_for("requests are served again", || {
        site.hosts[0].complete(body.clone(), &[]).status == 200
    });
    wait_for("memory is free again", || usage.memory() <= MEMORY_BYTES / 2);
}
