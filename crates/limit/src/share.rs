//! What a host sends to an upstream in need where it can ask nobody.

use crate::{
    grantor::{MOST_AHEAD_MS, PermitAnswer, PermitRequest},
    schedule::{Schedule, interval_ms},
};
use std::collections::HashMap;
use vanetally_types::{Incarnation, Tick, hash64};

/// Share of a limit that all hosts together spend where they can't ask: a grantor that others still reach spends all
/// of it meanwhile, and both together stay below one and a half times the limit.
const ALONE_SHARE: f64 = 0.3;

/// A host that can ask nobody looks again after this long, in milliseconds: a new grantor is there within two or three
/// seconds.
const ALONE_RETRY_MS: f64 = 1_000.0;

/// This host's own part of each limit.
#[derive(Clone, Debug)]
pub struct Shares {
    seed: u64,
    lines: HashMap<Incarnation, Part>,
}

#[derive(Clone, Copy, Debug)]
struct Part {
    line: Schedule,
    /// Milliseconds from one request of this host to its next one, as the line was begun.
    interval_ms: f64,
}

impl Shares {
    /// Hosts differ in `seed`.
    pub fn new(seed: u64) -> Self {
        Self { seed, lines: HashMap::new() }
    }

    /// Decides on a request by this host's part, among `hosts` of them.
    ///
    /// A part is often less than a request in many seconds: each host's first one comes at a moment of its own, so that
    /// all together send evenly.
    pub fn decide(&mut self, now: Tick, question: &PermitRequest, hosts: usize) -> PermitAnswer {
        let interval_ms = interval_ms(question.rate) * hosts.max(1) as f64 / ALONE_SHARE;
        let seed = self.seed;
        let known = self.lines.get(&question.upstream).filter(|p| p.interval_ms == interval_ms);
        let mut part = known.copied().unwrap_or_else(|| {
            let first_ms = draw(seed, &question.upstream, now) * interval_ms;
            Part { line: Schedule::new(now + first_ms as u64), interval_ms }
        });
        let wait_ms = part.line.wait_ms(now);
        let is_soon = wait_ms <= f64::from(question.max_wait_ms).min(MOST_AHEAD_MS as f64);
        if is_soon {
            part.line.take(now, interval_ms);
        }
        self.lines.insert(question.upstream.clone(), part);
        if is_soon {
            PermitAnswer::Granted { delay_ms: wait_ms.ceil() as u32 }
        } else {
            PermitAnswer::Busy { retry_ms: wait_ms.ceil().min(ALONE_RETRY_MS) as u32 }
        }
    }

    /// An upstream has gone.
    pub fn forget(&mut self, upstream: &Incarnation) {
        self.lines.remove(upstream);
    }
}

/// A number from 0 to 1 that is as good as random.
fn draw(seed: u64, upstream: &Incarnation, now: Tick) -> f64 {
    let mut bytes = upstream.id.as_bytes().to_vec();
    bytes.extend_from_slice(&seed.to_le_bytes());
    bytes.extend_from_slice(&now.0.to_le_bytes());
    hash64(&bytes) as f64 / u64::MAX as f64
}
