//! Costs of decisions against size: routing, claims, plans, digests, upkeep.

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use std::{collections::BTreeMap, hint::black_box, sync::Arc, time::Duration};
use vanetally_claim::{ClaimRequest, Event as SlotEvent, Guards, Id, Slot, Ticket};
use vanetally_core::{Core, Event, Frame, Options};
use vanetally_member::ListedHost;
use vanetally_pacing::{Pacer, Pacers, Prefix, Prompt, SendSlot};
use vanetally_plan::{Entry, Input, PlacementBuilder, Runner};
use vanetally_route::{
    AttemptEnd, Event as Route, Phase, Request, Router, Upstream, UpstreamStatus,
};
use vanetally_types::{HostId, Name, Tick};

const NOW: Tick = Tick(1_000_000);
/// Runners, with a fifth as many models, up to the size in two years.
const RUNNERS: [usize; 4] = [12, 300, 1_200, 4_800];
/// Replicas of a model.
const REPLICAS: usize = 5;

fn name(kind: &str, n: usize) -> Name {
    format!("{kind}-{n}").into()
}

fn seen(runner: usize, models: usize) -> UpstreamStatus {
    let entry = |k: usize| (name("model", (runner + k * 7) % models), Phase::Ready);
    UpstreamStatus {
        entries: (0..REPLICAS).map(entry).collect(),
        reachable: true,
        ..UpstreamStatus::default()
    }
}

fn router(runners: usize) -> Router {
    let options = vanetally_route::Options { domain: "a".into(), max_queued: 2_000 };
    let mut router = Router::new(options);
    let upstream = |n: usize| Upstream {
        name: name("runner", n),
        url: "http://10.0.0.1:1".into(),
        domain: name("domain", n % 9),
        slots: 16,
        leaving: false,
    };
    router.handle(NOW, Route::Upstreams((0..runners).map(upstream).collect()));
    for n in 0..runners {
        let seen = seen(n, models(runners));
        router.handle(NOW, Route::Status { upstream: name("runner", n), status: seen });
    }
    router
}

fn models(runners: usize) -> usize {
    (runners / 5).max(4)
}

fn request(id: u64, model: usize) -> Request {
    Request {
        id,
        caller: "desk".into(),
        target: name("model", model),
        entries: vec![name("model", model)],
        rank: 0,
        deadline: NOW + 60_000,
        once_only: false,
        prefix: id % 50 + 1,
    }
}

/// A request from arrival to its end.
fn route(c: &mut Criterion) {
    let mut group = c.benchmark_group("route");
    for runners in RUNNERS {
        let mut router = router(runners);
        let mut id = 0;
        group.bench_function(BenchmarkId::from_parameter(runners), |b| {
            b.iter(|| {
                id += 1;
                let request = request(id, id as usize % models(runners));
                black_box(router.handle(NOW, Route::Arrive(request)));
                router.handle(
                    NOW,
                    Route::Ended { id, end: AttemptEnd::Completed, response_started: true },
                )
            });
        });
    }
    group.finish();
}

/// A report on a runner, taken by a host that routes to it.
fn digest(c: &mut Criterion) {
    let mut group = c.benchmark_group("digest");
    for runners in RUNNERS {
        let mut router = router(runners);
        let seen = seen(1, models(runners));
        group.bench_function(BenchmarkId::from_parameter(runners), |b| {
            b.iter(|| {
                let (upstream, seen) = (name("runner", 1), seen.clone());
                router.handle(NOW, Route::Status { upstream, status: seen })
            });
        });
    }
    group.finish();
}

/// An id asked for and granted, with so many ids remembered, and the record written for it.
fn claim(c: &mut Criterion) {
    let mut group = c.benchmark_group("claim");
    for ids in [100_u64, 1_000, 4_000, 12_000] {
        let me = HostId::new("entry-1", 1);
        let options = vanetally_claim::Options {
            retention_ms: u64::MAX / 2,
            write_interval_ms: 0,
            wait_limit_ms: 1_000,
            max_ids: usize::MAX,
            guards: Guards::ON,
        };
        let mut slot = Slot::new(me.clone(), options);
        slot.handle(NOW, SlotEvent::TakeOver { backup: None });
        slot.handle(NOW, SlotEvent::Written { version: 1 });
        let mut next = 0_u64;
        let mut ask = |slot: &mut Slot| {
            next += 1;
            let ticket = Ticket { entry: me.clone(), number: next };
            let ask = ClaimRequest { id: Id(u128::from(next % ids)), deadline: NOW.0, ticket };
            slot.handle(NOW, SlotEvent::Request(ask))
        };
        for _ in 0..ids {
            ask(&mut slot);
        }
        slot.handle(NOW, SlotEvent::Written { version: 2 });
        slot.handle(NOW, SlotEvent::Written { version: 3 });
        let bytes = serde_json::to_vec(slot.record().expect("a record")).map_or(0, |b| b.len());
        println!("claim ids={ids} record_bytes={bytes}");
        group.bench_function(BenchmarkId::new("ask", ids), |b| b.iter(|| ask(&mut slot)));
        group.bench_function(BenchmarkId::new("record", ids), |b| {
            b.iter(|| serde_json::to_vec(slot.record().expect("a record")).map_or(0, |b| b.len()));
        });
    }
    group.finish();
}

fn input(runners: usize) -> Input {
    let models = models(runners);
    let entry = |n: usize| Entry {
        id: name("model", n),
        base: None,
        size: 14 << 30,
        load: 8.0 + (n % 13) as f64 * 6.0,
        rate: 5.0,
        allowed: (0..runners).collect(),
    };
    let runner = |n: usize| Runner {
        name: name("runner", n),
        domain: name("domain", n % 9),
        capacity: 80 << 30,
        slots: 16.0,
        usable: true,
        entries: seen(n, models).entries.into_keys().collect(),
        reserved: 0,
    };
    Input { entries: (0..models).map(entry).collect(), runners: (0..runners).map(runner).collect() }
}

/// A plan with up to four moves.
fn plan(c: &mut Criterion) {
    let mut group = c.benchmark_group("plan");
    group.sample_size(10);
    for runners in RUNNERS {
        let input = input(runners);
        let options = vanetally_plan::Options {
            move_price: 5.0,
            horizon_s: 60.0,
            target_utilization: 0.7,
            max_loads: 4,
        };
        group.bench_function(BenchmarkId::from_parameter(runners), |b| {
            b.iter(|| PlacementBuilder::from_input(&input, options).build());
        });
    }
    group.finish();
}

/// A round of upkeep on a host that knows so many others.
fn upkeep(c: &mut Criterion) {
    let mut group = c.benchmark_group("upkeep");
    for hosts in [3_usize, 9, 90, 370] {
        let listed = |n: usize| ListedHost {
            name: name("entry", n),
            link_addr: "10.0.0.1:1".into(),
            domain: name("domain", n % 9),
            leaving: false,
        };
        let options = Options {
            me: HostId::new("entry-0", 1),
            listed: listed(0),
            slots: 16,
            groups: 8,
            poll_ms: 500,
            ping_ms: 500,
            suspect_ms: 3_000,
            horizon_ms: 600_000,
            max_queued: 2_000,
        };
        let mut core = Core::new(NOW, options);
        core.handle(NOW, Event::Hosts((0..hosts).map(listed).collect()));
        let mut now = NOW;
        group.bench_function(BenchmarkId::from_parameter(hosts), |b| {
            b.iter(|| {
                now = now + 250;
                core.handle(now, Event::Tick)
            });
        });
    }
    group.finish();
}

/// A prompt of 3 parts whose moment a pacer is asked for.
fn prompt(runner: usize) -> Prompt {
    Prompt {
        upstream: name("runner", runner).into(),
        model: name("model", runner % 16),
        shared: vec![Prefix { key: 7, tokens: 210 }, Prefix { key: 8, tokens: 140 }],
        tokens: 1_460,
        per_token_us: 60,
        gap_ms: 300,
    }
}

/// Finding the pacer of an engine among so many hosts, and the moment among so many engines.
fn pace(c: &mut Criterion) {
    let mut group = c.benchmark_group("pace");
    for (hosts, runners) in [(9, 12), (71, 112), (370, 4_800)] {
        let mut pacers = Pacers::new(name("entry", 0));
        pacers.set_hosts((0..hosts).map(|n| (name("entry", n), 12)).collect());
        let mut pacer = Pacer::default();
        let mut number = 0;
        group.bench_function(BenchmarkId::from_parameter(runners), |b| {
            b.iter(|| {
                number += 1;
                let prompt = prompt(number % runners);
                black_box(pacers.pacer_of(NOW, &prompt.upstream.id).clone());
                pacer.reserve(Tick(NOW.0 + number as u64), &prompt)
            });
        });
    }
    group.finish();
    let size = |value: &Prompt| {
        let mut bytes = Vec::new();
        ciborium::into_writer(value, &mut bytes).map_or(0, |()| bytes.len())
    };
    println!("bytes frame=prompt value={}", size(&prompt(4_000)));
    let mut bytes = Vec::new();
    let moment = SendSlot { delay_ms: 40, unread: 1_110, ahead_ms: 60, is_trial: false };
    let written = ciborium::into_writer(&moment, &mut bytes).map_or(0, |()| bytes.len());
    println!("bytes frame=moment value={written}");
}

/// Bytes of messages on links, printed rather than timed.
fn bytes(_: &mut Criterion) {
    let size = |frame: &Frame| {
        let mut bytes = Vec::new();
        ciborium::into_writer(frame, &mut bytes).map_or(0, |()| bytes.len())
    };
    let me = HostId::new("entry-100", 1_796_205_122_946);
    let listed = ListedHost {
        name: "entry-100".into(),
        link_addr: "10.1.2.3:8002".into(),
        domain: "domain-3".into(),
        leaving: false,
    };
    let ping = Frame::Ping { listed, config: 40_000, tables: u64::MAX };
    println!("bytes frame=ping value={}", size(&ping));
    for heads in [8_u16, 24, 96, 394] {
        let table: BTreeMap<u16, _> = (0..heads).map(|n| (n, (7_u64, me.clone()))).collect();
        let frame = Frame::Tables { slots: table, groups: BTreeMap::new() };
        println!("bytes frame=tables heads={heads} value={}", size(&frame));
    }
    for entries in [1_usize, 5, 10, 20] {
        let pairs = (0..entries).map(|n| (name("model", n), Phase::Ready));
        let seen = UpstreamStatus {
            entries: pairs.collect(),
            reachable: true,
            ..UpstreamStatus::default()
        };
        let frame = Frame::RunnerStatus { runner: name("runner", 4_000), status: seen };
        println!("bytes frame=seen entries={entries} value={}", size(&frame));
    }
    for targets in [1_usize, 9, 90, 960] {
        let pairs = (0..targets).map(|n| (name("model", n), (3_u32, 4_500_u32)));
        println!(
            "bytes frame=demand targets={targets} value={}",
            size(&Frame::Demand(pairs.collect()))
        );
    }
    let ticket = Ticket { entry: me, number: 1_000_000 };
    let ask = Frame::Claim(ClaimRequest { id: Id(u128::MAX), deadline: NOW.0, ticket });
    println!("bytes frame=ask value={}", size(&ask));
    let revision = Arc::new(vanetally_config::Revision::default());
    println!("bytes frame=empty-config value={}", size(&Frame::Config(revision)));
}

criterion_group! {
    name = decisions;
    config = Criterion::default()
        .warm_up_time(Duration::from_millis(200))
        .measurement_time(Duration::from_millis(800))
        .sample_size(20);
    targets = bytes, route, digest, claim, plan, upkeep, pace
}
criterion_main!(decisions);
