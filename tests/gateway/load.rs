//! Callers that go on asking while a scene is played, and note what they got.

use std::{
    net::SocketAddr,
    sync::{
        Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};
use vanetally_platform_standin::{Client, ClientAnswer};

/// A stream that may run once, at an engine that holds `m1`.
pub fn offer(number: u64) -> Client {
    let client = Client::new("POST", "/offer/1", &format!("r{number}")).with("X-Model", "m1");
    client.body(format!("draft {number}").as_bytes()).deadline(5_000)
}

/// A call of a plain service that may be repeated.
pub fn check(number: u64) -> Client {
    Client::new("GET", "/check/1", &format!("r{number}")).deadline(5_000)
}

/// What a caller got, and when.
#[derive(Debug)]
pub struct Seen {
    /// The request's number in its scene.
    pub number: u64,
    pub front: SocketAddr,
    pub began: Instant,
    pub took: Duration,
    pub answer: ClientAnswer,
}

/// Calls all fronts in turn from several threads, each with a pause, until `scene` returns.
pub fn under_load(
    fronts: &[SocketAddr],
    request: impl Fn(u64) -> Client + Sync,
    callers: usize,
    pause: Duration,
    scene: impl FnOnce(),
) -> Vec<Seen> {
    let seen = Mutex::new(Vec::new());
    let is_over = AtomicBool::new(false);
    let next = AtomicU64::new(0);
    let call = || {
        while !is_over.load(Ordering::Relaxed) {
            let number = next.fetch_add(1, Ordering::Relaxed);
            let began = Instant::now();
            let front = fronts[number as usize % fronts.len()];
            let answer = request(number).send(front);
            let one = Seen { number, front, began, took: began.elapsed(), answer };
            seen.lock().expect("no thread panicked").push(one);
            thread::sleep(pause);
        }
    };
    thread::scope(|scope| {
        (0..callers).for_each(|_| drop(scope.spawn(call)));
        scene();
        is_over.store(true, Ordering::Relaxed);
    });
    seen.into_inner().expect("no thread panicked")
}
