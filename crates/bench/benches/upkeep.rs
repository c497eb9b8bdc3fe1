//! Cost of what a host does regardless of its own requests, by the number of upstreams that it knows.

use criterion::{BatchSize, BenchmarkId, Criterion, criterion_group, criterion_main};
use std::{hint::black_box, time::Duration};
use vanetally_dispatch::{Digest, Dispatch, Event, LoadRow, Options, RetryBudgetOptions};
use vanetally_ports::{HeldModel, UpstreamState};
use vanetally_types::{Name, Tick};

const NOW: Tick = Tick(1_000_000);
const UPSTREAM_COUNTS: [usize; 3] = [1_000, 2_000, 4_000];
/// Upstreams in the report of one other host.
const REPORTED: usize = 8;

fn state(number: usize) -> UpstreamState {
    UpstreamState {
        service: "llm".into(),
        address: ([10, 1, (number / 250) as u8, (number % 250) as u8], 80).into(),
        domain: format!("z{}", number % 5).into(),
        slots: 12,
        draining: false,
        remaining_ms: None,
        cold_ms: 0,
        orders_taken: 0,
        models: vec![HeldModel {
            name: format!("m-{}", number % 336).into(),
            adapters: Vec::new(),
        }],
        at_hand: Vec::new(),
        software_version: "v1".into(),
    }
}

fn announce_all(upstreams: usize) -> Dispatch {
    let options = Options {
        host: "front-0".into(),
        domain: "z1".into(),
        retry_budget: RetryBudgetOptions { ratio: 0.2, window_ms: 10_000, slack: 630.0 },
        grace_ms: 8_000,
        revoke_ms: None,
        prefix_affinity: false,
        shared_queue: false,
        slot_grants: false,
    };
    let mut dispatch = Dispatch::new(NOW, options);
    for number in 0..upstreams {
        let id = format!("r-{number}").as_str().into();
        dispatch.handle(NOW, Event::UpstreamSeen { id, state: state(number) });
    }
    dispatch
}

fn report(first: usize) -> Digest {
    let row = |number: usize| LoadRow {
        upstream: format!("r-{number}").as_str().into(),
        running: 1,
        unread_tokens: 100,
        held_tokens: 1_000,
        good: 1,
        bad: 0,
        limit: None,
    };
    Digest {
        loads: (first..first + REPORTED).map(row).collect(),
        demand: Vec::new(),
        waiting: Vec::new(),
    }
}

fn bench_start(c: &mut Criterion) {
    let mut group = c.benchmark_group("all upstreams are announced");
    group.sample_size(10);
    for upstreams in UPSTREAM_COUNTS {
        let id = BenchmarkId::from_parameter(upstreams);
        group.bench_function(id, |b| b.iter(|| black_box(announce_all(upstreams))));
    }
    group.finish();
}

fn bench_tick(c: &mut Criterion) {
    let mut group = c.benchmark_group("periodic check of a host without requests");
    for upstreams in UPSTREAM_COUNTS {
        let mut dispatch = announce_all(upstreams);
        let id = BenchmarkId::from_parameter(upstreams);
        group.bench_function(id, |b| b.iter(|| black_box(dispatch.handle(NOW, Event::Tick))));
    }
    group.finish();
}

fn bench_report(c: &mut Criterion) {
    let mut group = c.benchmark_group("report of a host with eight loaded upstreams");
    for upstreams in UPSTREAM_COUNTS {
        let mut dispatch = announce_all(upstreams);
        let host: Name = "front-1".into();
        let mut first = 0;
        let id = BenchmarkId::from_parameter(upstreams);
        group.bench_function(id, |b| {
            let next = || {
                first = (first + 1) % (upstreams - REPORTED);
                Event::PeerDigest { host: host.clone(), digest: report(first) }
            };
            b.iter_batched(next, |event| dispatch.handle(NOW, event), BatchSize::SmallInput);
        });
    }
    group.finish();
}

/// A change of the source discards the loads of each known host.
fn bench_peers_gone(c: &mut Criterion) {
    let mut group = c.benchmark_group("1,000 hosts without a report are forgotten");
    group.sample_size(10);
    for upstreams in UPSTREAM_COUNTS {
        let mut dispatch = announce_all(upstreams);
        let hosts: Vec<Name> = (0..1_000).map(|number| format!("front-{number}").into()).collect();
        let id = BenchmarkId::from_parameter(upstreams);
        group.bench_function(id, |b| {
            b.iter(|| {
                for host in &hosts {
                    black_box(dispatch.handle(NOW, Event::PeerGone { host: host.clone() }));
                }
            });
        });
    }
    group.finish();
}

fn criterion_config() -> Criterion {
    Criterion::default()
        .sample_size(20)
        .warm_up_time(Duration::from_millis(200))
        .measurement_time(Duration::from_millis(500))
}

criterion_group! {
    name = upkeep;
    config = criterion_config();
    targets = bench_start, bench_tick, bench_report, bench_peers_gone
}
criterion_main!(upkeep);
