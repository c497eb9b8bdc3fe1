//! A host on a small machine, and what a crowd of callers may make it hold.

use super::{
    Deployment, Host,
    crowd::{Crowd, Script, chunks},
    wait_for,
};
use serde_json::json;
use std::{
    sync::{Mutex, MutexGuard, PoisonError},
    thread,
    time::{Duration, Instant},
};
use vanetally_platform_standin::Client;

pub const CROWD: usize = 150;
/// Maximum size of a body.
pub const BODY_BYTES: usize = 1 << 20;
/// Memory of the host's machine: less than the bodies of a crowd.
pub const MEMORY_MB: u64 = 80;
pub const MEMORY_BYTES: u64 = MEMORY_MB * 1_000_000;
/// Descriptors of the host's machine: fewer than the connections of a crowd that rests.
pub const MAX_FDS: usize = 800;
/// Descriptors that may still be in use after a crowd, besides those of before: connections to upstreams, the store and
/// the caller of the last request.
pub const SPARE_FDS: usize = 16;
/// Hundredths of a second of processor time that a host at rest uses in half a second.
pub const MAX_CALM_TICKS: u64 = 15;
/// Maximum time until a host has done what it does with what a crowd sends.
pub const MAX_SETTLING: Duration = Duration::from_secs(120);

/// Crowds come one at a time: each uses much of the test's machine.
pub fn alone() -> MutexGuard<'static, ()> {
    static TURN: Mutex<()> = Mutex::new(());
    TURN.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A site with one host on a small machine.
pub struct Site {
    pub deployment: Deployment,
    pub host: Host,
    pub max_fds: usize,
    /// Descriptors in use before the crowd.
    pub calm_fds: usize,
}

impl Site {
    /// Starts a host whose callers may send bodies of [`BODY_BYTES`].
    pub fn start() -> Self {
        Self::with_limits(&json!({ "max_body_bytes": BODY_BYTES }))
    }

    /// Starts a host with these limits on callers.
    pub fn with_limits(limits: &serde_json::Value) -> Self {
        let deployment = Deployment::start();
        deployment.configure_limits(2, limits, CROWD);
        Self::of(deployment, MAX_FDS)
    }

    /// Starts a host with `max_fds` descriptors and engines of `slots` slots.
    pub fn with_slots(max_fds: usize, slots: usize) -> Self {
        let deployment = Deployment::start();
        deployment.configure_limits(2, &json!({ "max_body_bytes": BODY_BYTES }), slots);
        for runner in deployment.engines.iter().chain(&deployment.desks) {
            runner.set_slots(slots);
            let (key, value) = runner.entry();
            deployment.store.put(&key, &value);
        }
        Self::of(deployment, max_fds)
    }

    /// Starts a host with `max_fds` descriptors.
    fn of(deployment: Deployment, max_fds: usize) -> Self {
        let machine = json!({ "memory_mb": MEMORY_MB, "max_fds": max_fds });
        let host = deployment.limited_host("front-0", &machine);
        let site = Self { deployment, host, max_fds, calm_fds: 0 };
        wait_for("a request is served", || site.is_served("first", 100));
        let calm_fds = site.host.usage().descriptors();
        Self { calm_fds, ..site }
    }

    /// Whether an ordinary request with a body of `bytes` is served.
    pub fn is_served(&self, id: &str, bytes: usize) -> bool {
        let request = Client::new("POST", "/check/1", id).body(&vec![b'o'; bytes]);
        request.send(self.host.front).status == 200
    }

    /// Lets a crowd send until the host has done what it does with it.
    pub fn settle(&self, crowd: &mut Crowd) {
        settle(&self.host, crowd);
    }

    /// Checks that the host lives and is within the bounds of its machine.
    pub fn check_bounds(&mut self) {
        check_bounds(&mut self.host, self.max_fds);
    }

    /// Checks that what the crowd held is free again.
    pub fn check_calm(&mut self) {
        let max = self.calm_fds + SPARE_FDS;
        wait_for("descriptors are free again", || self.host.usage().descriptors() <= max);
        wait_for("memory is free again", || self.host.usage().memory() <= MEMORY_BYTES / 2);
        assert!(self.is_served("whole", BODY_BYTES), "a body of full size is served");
        let whole = Script::in_chunks([chunks(BODY_BYTES, 1_024), b"0\r\n\r\n".into()].concat());
        let mut caller = Crowd::connect(self.host.front, 1, &whole);
        wait_for_answer(&mut caller);
        assert_eq!(caller.members[0].status(), Some(200), "chunks are served");
        self.check_bounds();
    }
}

/// Lets a crowd send until the host takes no more of it and has done what it does with it.
pub fn settle(host: &Host, crowd: &mut Crowd) {
    let began = Instant::now();
    loop {
        let before = (host.usage().unread(), host.usage().processor_ticks());
        crowd.settle();
        let after = (host.usage().unread(), host.usage().processor_ticks());
        if before.0 == after.0 && after.1 - before.1 <= MAX_CALM_TICKS {
            return;
        }
        assert!(began.elapsed() < MAX_SETTLING, "the host has no rest");
    }
}

/// Checks that a host lives and is within the bounds of its machine.
pub fn check_bounds(host: &mut Host, max_fds: usize) {
    assert_eq!(host.try_wait(), None, "the process lives");
    let (peak, memory) = (host.usage().peak_memory(), host.usage().memory());
    let (unread, unsent) = (host.usage().unread(), host.usage().unsent());
    let descriptors = host.usage().descriptors();
    println!(
        "peak {peak}, now {memory}, unread {unread}, unsent {unsent}, descriptors {descriptors}"
    );
    assert!(peak <= MEMORY_BYTES, "{peak} bytes at the peak");
    let all = memory + unread + unsent;
    assert!(all <= MEMORY_BYTES, "{memory} bytes, {unread} unread and {unsent} unsent");
    assert!(descriptors <= max_fds, "{descriptors} descriptors");
}

/// Lets a crowd send until all of it are answered.
pub fn wait_for_answer(crowd: &mut Crowd) {
    for _ in 0..10_000 {
        crowd.step();
        if crowd.members.iter().all(|member| member.status().is_some()) {
            return;
        }
        thread::sleep(Duration::from_millis(1));
    }
}
