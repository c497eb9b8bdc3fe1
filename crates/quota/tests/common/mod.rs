//! Helpers of the tests of the queue.

// Each test binary uses only some of these helpers.
#![allow(dead_code)]

use std::collections::HashMap;
use vanetally_ports::{Quota, QuotaUnit};
use vanetally_quota::{Asker, Grantor, Guards, QuotaAnswer, Rank, SpendRequest};
use vanetally_types::{Name, Tick};

pub const START: Tick = Tick(1_000_000);
/// Units per second of the organisation `o`, and its burst.
pub const RATE: f64 = 10_000.0;

pub fn quotas() -> HashMap<Name, Quota> {
    let unit = QuotaUnit::Tokens { default_tokens: 200 };
    HashMap::from([("o".into(), Quota { unit, rate: RATE, burst: RATE })])
}

/// Returns a grantor with a queue whose bucket is empty at [`START`].
pub fn grantor() -> Grantor {
    let mut grantor = Grantor::with_queue(Guards::ON);
    grantor.configure(START, quotas());
    grantor.set_granting(START, true);
    grantor
}

/// Spends what is in the bucket, to the last unit.
pub fn spend_all(grantor: &mut Grantor, now: Tick) {
    while let QuotaAnswer::Granted { .. } = grantor.spend(now, &"o".into(), 1) {}
}

pub fn asker(number: u64) -> Asker {
    Asker { host: "h1".into(), number }
}

pub fn request(number: u64, rank: Rank, cost: u32, wait_ms: u64) -> SpendRequest {
    let organisation = "o".into();
    SpendRequest { asker: asker(number), organisation, cost, rank: Some(rank), wait_ms }
}

/// Serves the queue each 5 ms for `millis`; returns the final answers with their times.
pub fn replies(grantor: &mut Grantor, from: Tick, millis: u64) -> Vec<(Tick, u64, QuotaAnswer)> {
    let mut answers = Vec::new();
    for ms in (0..millis).step_by(5) {
        grantor.serve(from + ms);
        let replies = grantor.take_replies().into_iter();
        let last = replies.filter(|reply| !matches!(reply.answer, QuotaAnswer::Queued { .. }));
        answers.extend(last.map(|reply| (from + ms, reply.to.number, reply.answer)));
    }
    answers
}
