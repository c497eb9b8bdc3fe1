//! One organisation sends six times its quota from 70 hosts, urgent and routine requests; callers
//! retry once, at another host.

mod common;

use common::START;
use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashMap},
};
use vanetally_ports::{Quota, QuotaUnit};
use vanetally_quota::{Asker, Grantor, Guards, QuotaAnswer, Rank, SpendRequest};
use vanetally_types::Name;

const HOSTS: u64 = 70;
const RATE: f64 = 100_000.0;
/// Requests per second: six times the quota, of which the urgent ones ask for four fifths of it.
const PER_S: u64 = 400;
const URGENT_EVERY: u64 = 8;
const LOAD_MS: u64 = 10_000;
const END_MS: u64 = 20_000;
/// One-way latency between hosts.
const LATENCY_MS: u64 = 1;
/// Interval at which the gateway serves the queue.
const TICK_MS: u64 = 20;
/// Length of the window in which grants are bounded.
const WINDOW_MS: u64 = 8_000;
/// What one grantor grants in a window: rate, burst and what the last request overdraws. Below the
/// bound of the operators, (rate x window + burst) x 1.1 + 110,000.
const BOUND: f64 = RATE * 8.0 + RATE + 1_700.0;

#[derive(Clone, Copy)]
struct Kind {
    rank: Rank,
    objective_ms: u64,
    deadline_ms: u64,
}

const URGENT: Kind = Kind { rank: Rank(1, 1), objective_ms: 800, deadline_ms: 6_000 };
const ROUTINE: Kind = Kind { rank: Rank(1, 2), objective_ms: 8_000, deadline_ms: 12_000 };

/// A request of a caller.
#[derive(Clone, Copy)]
struct Call {
    kind: Kind,
    cost: u32,
    /// When the caller first sent it.
    began_ms: u64,
    /// When it arrived at the host that asks for it now.
    arrived_ms: u64,
    is_retry: bool,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Step {
    Arrives(usize),
    Asked(usize, u64),
    Answered(usize),
    Tick,
}

#[derive(Default)]
struct Played {
    granted: Vec<(u64, f64)>,
    /// Requests of callers, and those granted within their objective, urgent and routine.
    sent: [usize; 2],
    on_time: [usize; 2],
    retry_ms: Vec<u64>,
    /// Retries of urgent and routine requests.
    retries: [usize; 2],
    /// Requests refused after a retry.
    lost: usize,
    /// Messages for requests that were refused at once, and the number of these.
    refusal_messages: usize,
    refused_at_once: usize,
    max_waiting: usize,
}

impl Played {
    fn share(&self, kind: usize) -> f64 {
        self.on_time[kind] as f64 / self.sent[kind] as f64
    }

    /// Largest sum granted in a window.
    fn max_window(&self) -> f64 {
        let mut max: f64 = 0.0;
        let (mut sum, mut first) = (0.0, 0);
        for (at, cost) in &self.granted {
            sum += cost;
            while self.granted[first].0 + WINDOW_MS < *at {
                sum -= self.granted[first].1;
                first += 1;
            }
            max = max.max(sum);
        }
        max
    }
}

/// Plays the load with the given seed; `waits` is the setting.
fn play(seed: u64, waits: bool) -> Played {
    let organisation: Name = "o".into();
    let unit = QuotaUnit::Tokens { default_tokens: 200 };
    let quotas = HashMap::from([(organisation.clone(), Quota { unit, rate: RATE, burst: RATE })]);
    let mut grantor = if waits { Grantor::with_queue(Guards::ON) } else { Grantor::default() };
    grantor.configure(START, quotas);
    grantor.set_granting(START, true);
    let mut random = seed;
    let mut next_random = move || {
        random = vanetally_types::hash64(&random.to_le_bytes());
        random
    };
    let mut played = Played::default();
    let mut calls: Vec<Call> = Vec::new();
    let mut messages: Vec<usize> = Vec::new();
    let mut answers: HashMap<usize, QuotaAnswer> = HashMap::new();
    let mut steps = BinaryHeap::new();
    for number in 0..PER_S * LOAD_MS / 1_000 {
        let at = number * 1_000 / PER_S + next_random() % 5;
        let kind = if number % URGENT_EVERY < 1 { URGENT } else { ROUTINE };
        let cost =
            if kind.rank == URGENT.rank { 1_600 } else { 1_485 } + (next_random() % 30) as u32;
        let call = Call { kind, cost, began_ms: at, arrived_ms: at, is_retry: false };
        played.sent[usize::from(kind.rank != URGENT.rank)] += 1;
        steps.push(Reverse((at, Step::Arrives(calls.len()))));
        calls.push(call);
    }
    (0..END_MS).step_by(TICK_MS as usize).for_each(|ms| steps.push(Reverse((ms, Step::Tick))));
    while let Some(Reverse((ms, step))) = steps.pop() {
        let now = START + ms;
        match step {
            Step::Arrives(index) => {
                messages.resize(calls.len().max(messages.len()), 0);
                messages[index] += 1;
                let host = next_random() % HOSTS;
                steps.push(Reverse((ms + LATENCY_MS, Step::Asked(index, host))));
            }
            Step::Asked(index, host) => {
                let call = calls[index];
                let left = (call.arrived_ms + call.kind.objective_ms).saturating_sub(ms);
                let wait_ms = if waits { left / 2 } else { 0 };
                let asker =
                    Asker { host: format!("h{host}").as_str().into(), number: index as u64 };
                let answer = grantor.request(
                    now,
                    SpendRequest {
                        asker,
                        organisation: organisation.clone(),
                        cost: call.cost,
                        rank: waits.then_some(call.kind.rank),
                        wait_ms,
                    },
                );
                if !matches!(answer, QuotaAnswer::Queued { .. }) {
                    answers.insert(index, answer);
                    messages[index] += 1;
                    steps.push(Reverse((ms + LATENCY_MS, Step::Answered(index))));
                    if matches!(answer, QuotaAnswer::Refused { .. }) {
                        played.refused_at_once += 1;
                        played.refusal_messages += messages[index];
                    }
                }
            }
            Step::Tick => {
                grantor.serve(now);
                played.max_waiting = played.max_waiting.max(grantor.waiting());
            }
            Step::Answered(index) => {
                let call = calls[index];
                match answers[&index] {
                    QuotaAnswer::Granted { .. } => {
                        played.granted.push((ms, f64::from(call.cost)));
                        let is_on_time = ms < call.arrived_ms + call.kind.objective_ms;
                        let kind = usize::from(call.kind.rank != URGENT.rank);
                        played.on_time[kind] += usize::from(is_on_time);
                    }
                    QuotaAnswer::Refused { retry_ms } => {
                        played.retry_ms.push(retry_ms);
                        let left = (call.began_ms + call.kind.deadline_ms).saturating_sub(ms);
                        if call.is_retry || left == 0 {
                            played.lost += 1;
                            continue;
                        }
                        played.retries[usize::from(call.kind.rank != URGENT.rank)] += 1;
                        let at = ms + retry_ms.min(left / 3) + 2 * LATENCY_MS;
                        steps.push(Reverse((at, Step::Arrives(calls.len()))));
                        calls.push(Call { arrived_ms: at, is_retry: true, ..call });
                    }
                    other => panic!("{other:?}"),
                }
            }
        }
        for reply in grantor.take_replies() {
            let index = reply.to.number as usize;
            if !matches!(reply.answer, QuotaAnswer::Queued { .. }) {
                answers.insert(index, reply.answer);
                steps.push(Reverse((ms + LATENCY_MS, Step::Answered(index))));
            }
        }
    }
    played.granted.sort_by_key(|(at, _)| *at);
    played
}

fn summary(name: &str, played: &Played) {
    println!(
        "{name}: urgent on time {:.3} routine {:.3} retries {:?} lost {} max_window {:.0} of {BOUND:.0} max_waiting {} refused_at_once {}",
        played.share(0),
        played.share(1),
        played.retries,
        played.lost,
        played.max_window(),
        played.max_waiting,
        played.refused_at_once,
    );
}

/// Without the queue, routine requests take what urgent ones need and callers use up their retries;
/// with it, urgent requests are granted first.
#[test]
fn urgent_first() {
    for seed in 1..=5 {
        let before = play(seed, false);
        let after = play(seed, true);
        summary("before", &before);
        summary("after", &after);
        assert!(before.share(0) < 0.6, "the load must show the fault: {}", before.share(0));
        assert!(after.share(0) > 0.95, "{}", after.share(0));
        assert!(before.retries[0] * 2 > before.sent[0], "{:?}", before.retries);
        assert!(after.retries[0] * 20 < after.sent[0], "{:?}", after.retries);
        assert!(after.lost * 10 < before.lost * 9, "{} {}", after.lost, before.lost);
        for played in [&before, &after] {
            assert!(played.max_window() <= BOUND, "{}", played.max_window());
            let granted: f64 = played.granted.iter().map(|(_, cost)| cost).sum();
            assert!(granted >= RATE * (LOAD_MS / 1_000) as f64 * 0.97, "{granted}");
        }
    }
}

/// Callers that are refused within the same seconds must not be told the same time.
#[test]
fn spread_of_retries() {
    let crowd = |played: &Played| {
        let mut counts: HashMap<u64, usize> = HashMap::new();
        played.retry_ms.iter().for_each(|ms| *counts.entry(ms / 50).or_default() += 1);
        counts.into_values().max().unwrap_or(0) as f64 / played.retry_ms.len() as f64
    };
    let (before, after) = (play(1, false), play(1, true));
    assert!(crowd(&before) > 0.9, "the load must show the fault: {}", crowd(&before));
    assert!(crowd(&after) < 0.05, "{}", crowd(&after));
}

/// A refusal costs one message there and one back.
#[test]
fn messages_of_refusals() {
    let played = play(1, true);
    assert!(played.refused_at_once > 500, "{}", played.refused_at_once);
    assert_eq!(played.refusal_messages, played.refused_at_once * 2);
    assert!(played.max_waiting < 1_000, "{}", played.max_waiting);
}
