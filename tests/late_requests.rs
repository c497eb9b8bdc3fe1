//! Requests that are still on their way when they are given up.
//!
//! Guards against requests that reach an upstream after their caller, their deadline or their host is gone.

mod gateway;

use gateway::{taps::TappedDeployment, wait_for};
use rstest::rstest;
use std::{
    thread::{self, sleep},
    time::Duration,
};
use vanetally_platform_standin::{Client, TapMode};

/// Shorter than the last retransmission of what was sent at its beginning.
const CUT: Duration = Duration::from_millis(1_800);
/// Time in which everything that is still under way arrives.
const AFTER: Duration = Duration::from_millis(3_500);
/// When the caller leaves, or the host is killed.
const LEFT: Duration = Duration::from_millis(300);
const DEADLINE_MS: u64 = 1_000;

/// Why the request is given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    CallerLeaves,
    DeadlinePasses,
    HostKilled,
}

fn offer(id: &str) -> Client {
    Client::new("POST", "/offer/1", id).with("X-Model", "m1").body(b"draft")
}

impl TappedDeployment {
    fn has_arrived(&self, id: &str) -> bool {
        let requests = self.deployment.engines.iter().flat_map(|engine| engine.requests());
        requests.into_iter().any(|request| request.header("x-attempt-id") == Some(id))
    }

    /// Sends a request through the first host while `hosts` are cut off, and gives it up.
    fn give_up(&mut self, end: End, hosts: std::ops::Range<usize>) {
        let front = self.hosts[0].front;
        let warm_up = || offer("warm-up").send(front).status == 200;
        wait_for("a connection is kept", warm_up);
        self.set_mode(hosts.clone(), TapMode::Cut);
        let client = offer("late").deadline(DEADLINE_MS);
        let sending = thread::spawn(move || match end {
            End::CallerLeaves => client.send_and_disconnect(front, LEFT),
            End::DeadlinePasses | End::HostKilled => drop(client.send(front)),
        });
        if end == End::HostKilled {
            sleep(LEFT);
            self.hosts[0].kill();
        }
        sleep(CUT);
        sending.join().expect("no panic");
        self.set_mode(hosts, TapMode::Pass);
        sleep(AFTER);
    }
}

#[rstest]
fn given_up(#[values(End::CallerLeaves, End::DeadlinePasses, End::HostKilled)] end: End) {
    let mut site = TappedDeployment::start(1, 1, 1);
    site.give_up(end, 0..1);
    assert!(!site.has_arrived("late"), "it arrived after {end:?}");
}

/// The same where the request passes through another host.
#[rstest]
fn given_up_in_tunnel(#[values(End::CallerLeaves, End::HostKilled)] end: End) {
    let mut site = TappedDeployment::start(2, 1, 1);
    site.set_mode(0..1, TapMode::Reset);
    wait_for("requests pass through the other host", || {
        offer("first").send(site.hosts[0].front);
        site.hosts[0].metric("vanetally_tunnels_total{outcome=\"opened\"}").unwrap_or(0.0) > 0.0
    });
    site.give_up(end, 1..2);
    assert!(!site.has_arrived("late"), "it arrived after {end:?}");
}
