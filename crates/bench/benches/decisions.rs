//! Cost of decisions by size: routing, status reports, claims, planning, upkeep, pacing; and the
//! sizes of messages between hosts.

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use std::{collections::BTreeMap, hint::black_box, sync::Arc, time::Duration};
use vanetally_claim::{ClaimRequest, Event as SlotEvent, Guards, Id, Slot, Ticket};
use vanetally_core::{Core, Event, Frame, Options};
use vanetally_member::ListedHost;
use vanetally_pacing::{Pacer, Pacers, Prefix, Prompt, SendSlot};
use vanetally_plan::{Entry, Input, PlacementBuilder, Runner};
use vanetally_route::{
    AttemptEnd, Event as RouteEvent, Phase, Request, Router, Upstream, UpstreamStatus,
};
use vanetally_types::{HostId, Name, Tick};

const NOW: Tick = Tick(1_000_000);
/// Numbers of runners, up to the size expected in two years. There are a fifth as many models.
const RUNNER_COUNTS: [usize; 4] = [12, 300, 1_200, 4_800];
/// Number of entries that a runner holds.
const ENTRIES_PER_RUNNER: usize = 5;

fn name(kind: &str, n: usize) -> Name {
    format!("{kind}-{n}").into()
}

fn upstream_status(runner: usize, model_count: usize) -> UpstreamStatus {
    let entry = |k: usize| (name("model", (runner + k * 7) % model_count), Phase::Ready);
    UpstreamStatus {
        entries: (0..ENTRIES_PER_RUNNER).map(entry).collect(),
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
    router.handle(NOW, RouteEvent::Upstreams((0..runners).map(upstream).collect()));
    for n in 0..runners {
        let status = upstream_status(n, model_count(runners));
        router.handle(NOW, RouteEvent::Status { upstream: name("runner", n), status });
    }
    router
}

fn model_count(runners: usize) -> usize {
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

/// Routing of a request, from its arrival to its end.
fn bench_route(c: &mut Criterion) {
    let mut group = c.benchmark_group("route");
    for runners in RUNNER_COUNTS {
        let mut router = router(runners);
        let mut id = 0;
        group.bench_function(BenchmarkId::from_parameter(runners), |b| {
            b.iter(|| {
                id += 1;
                let request = request(id, id as usize % model_count(runners));
                black_box(router.handle(NOW, RouteEvent::Arrive(request)));
                router.handle(
                    NOW,
                    RouteEvent::Ended { id, end: AttemptEnd::Completed, response_started: true },
                )
            });
        });
    }
    group.finish();
}

/// Handling of a runner's status by a host that routes to the runner.
fn bench_status(c: &mut Criterion) {
    let mut group = c.benchmark_group("digest");
    for runners in RUNNER_COUNTS {
        let mut router = router(runners);
        let status = upstream_status(1, model_count(runners));
        group.bench_function(BenchmarkId::from_parameter(runners), |b| {
            b.iter(|| {
                let (upstream, status) = (name("runner", 1), status.clone());
                router.handle(NOW, RouteEvent::Status { upstream, status })
            });
        });
    }
    group.finish();
}

/// Claiming of an id that is granted, and serialization of the record, by the number of ids in the
/// slot.
fn bench_claim(c: &mut Criterion) {
    let mut group = c.benchmark_group("claim");
    for ids in [100_u64, 1_000, 4_000, 12_000] {
        let host = HostId::new("entry-1", 1);
        let options = vanetally_claim::Options {
            retention_ms: u64::MAX / 2,
            write_interval_ms: 0,
            wait_limit_ms: 1_000,
            max_ids: usize::MAX,
            guards: Guards::ON,
        };
        let mut slot = Slot::new(host.clone(), options);
        slot.handle(NOW, SlotEvent::TakeOver { backup: None });
        slot.handle(NOW, SlotEvent::Written { version: 1 });
        let mut number = 0_u64;
        let mut claim_next = |slot: &mut Slot| {
            number += 1;
            let ticket = Ticket { entry: host.clone(), number };
            let claim = ClaimRequest { id: Id(u128::from(number % ids)), deadline: NOW.0, ticket };
            slot.handle(NOW, SlotEvent::Request(claim))
        };
        for _ in 0..ids {
            claim_next(&mut slot);
        }
        slot.handle(NOW, SlotEvent::Written { version: 2 });
        slot.handle(NOW, SlotEvent::Written { version: 3 });
        let bytes = serde_json::to_vec(slot.record().expect("a record")).map_or(0, |b| b.len());
        println!("claim ids={ids} record_bytes={bytes}");
        group.bench_function(BenchmarkId::new("ask", ids), |b| b.iter(|| claim_next(&mut slot)));
        group.bench_function(BenchmarkId::new("record", ids), |b| {
            b.iter(|| serde_json::to_vec(slot.record().expect("a record")).map_or(0, |b| b.len()));
        });
    }
    group.finish();
}

fn plan_input(runners: usize) -> Input {
    let model_count = model_count(runners);
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
        entries: upstream_status(n, model_count).entries.into_keys().collect(),
        reserved: 0,
    };
    Input {
        entries: (0..model_count).map(entry).collect(),
        runners: (0..runners).map(runner).collect(),
    }
}

/// Planning with up to four loads.
fn bench_plan(c: &mut Criterion) {
    let mut group = c.benchmark_group("plan");
    group.sample_size(10);
    for runners in RUNNER_COUNTS {
        let input = plan_input(runners);
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

/// One tick of a host, by the number of hosts that it knows.
fn bench_upkeep(c: &mut Criterion) {
    let mut group = c.benchmark_group("upkeep");
    for hosts in [3_usize, 9, 90, 370] {
        let listed = |n: usize| ListedHost {
            name: name("entry", n),
            link_addr: "10.0.0.1:1".into(),
            domain: name("domain", n % 9),
            leaving: false,
        };
        let options = Options {
            host_id: HostId::new("entry-0", 1),
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

/// Returns a prompt of three parts, for which a pacer reserves a send time.
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

/// Choice of the pacer of an engine, by the number of hosts, and reservation of a send time, by the
/// number of engines.
fn bench_pace(c: &mut Criterion) {
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
    let encoded_size = |value: &Prompt| {
        let mut bytes = Vec::new();
        ciborium::into_writer(value, &mut bytes).map_or(0, |()| bytes.len())
    };
    println!("bytes frame=prompt value={}", encoded_size(&prompt(4_000)));
    let mut bytes = Vec::new();
    let send_slot = SendSlot { delay_ms: 40, unread: 1_110, ahead_ms: 60, is_trial: false };
    let send_slot_bytes = ciborium::into_writer(&send_slot, &mut bytes).map_or(0, |()| bytes.len());
    println!("bytes frame=moment value={send_slot_bytes}");
}

/// Prints the encoded sizes of messages between hosts; times nothing.
fn print_message_sizes(_: &mut Criterion) {
    let encoded_size = |frame: &Frame| {
        let mut bytes = Vec::new();
        ciborium::into_writer(frame, &mut bytes).map_or(0, |()| bytes.len())
    };
    let host = HostId::new("entry-100", 1_796_205_122_946);
    let listed = ListedHost {
        name: "entry-100".into(),
        link_addr: "10.1.2.3:8002".into(),
        domain: "domain-3".into(),
        leaving: false,
    };
    let ping = Frame::Ping { listed, config: 40_000, tables: u64::MAX };
    println!("bytes frame=ping value={}", encoded_size(&ping));
    for heads in [8_u16, 24, 96, 394] {
        let table: BTreeMap<u16, _> = (0..heads).map(|n| (n, (7_u64, host.clone()))).collect();
        let frame = Frame::Tables { slots: table, groups: BTreeMap::new() };
        println!("bytes frame=tables heads={heads} value={}", encoded_size(&frame));
    }
    for entries in [1_usize, 5, 10, 20] {
        let phases = (0..entries).map(|n| (name("model", n), Phase::Ready));
        let status = UpstreamStatus {
            entries: phases.collect(),
            reachable: true,
            ..UpstreamStatus::default()
        };
        let frame = Frame::RunnerStatus { runner: name("runner", 4_000), status };
        println!("bytes frame=seen entries={entries} value={}", encoded_size(&frame));
    }
    for targets in [1_usize, 9, 90, 960] {
        let demand = (0..targets).map(|n| (name("model", n), (3_u32, 4_500_u32)));
        println!(
            "bytes frame=demand targets={targets} value={}",
            encoded_size(&Frame::Demand(demand.collect()))
        );
    }
    let ticket = Ticket { entry: host, number: 1_000_000 };
    let claim = Frame::Claim(ClaimRequest { id: Id(u128::MAX), deadline: NOW.0, ticket });
    println!("bytes frame=ask value={}", encoded_size(&claim));
    let revision = Arc::new(vanetally_config::Revision::default());
    println!("bytes frame=empty-config value={}", encoded_size(&Frame::Config(revision)));
}

criterion_group! {
    name = decisions;
    config = Criterion::default()
        .warm_up_time(Duration::from_millis(200))
        .measurement_time(Duration::from_millis(800))
        .sample_size(20);
    targets =
        print_message_sizes, bench_route, bench_status, bench_claim, bench_plan, bench_upkeep,
        bench_pace
}
criterion_main!(decisions);
