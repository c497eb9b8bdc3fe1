//! Costs of the decisions on the users' platform against the number of runners.

use criterion::{BatchSize, BenchmarkId, Criterion, criterion_group, criterion_main};
use std::{collections::BTreeMap, hint::black_box, rc::Rc, time::Duration};
use vanetally_dispatch::{
    Action, Digest, Dispatch, Event, LoadRow, Options, RequestId, RetryBudgetOptions,
};
use vanetally_fanout::Totals;
use vanetally_pacing::{Pacer, Prompt};
use vanetally_placement::{self as placement, DemandSample, Placement};
use vanetally_ports::{
    CallerKey, CallerLimits, CallerRequest, Configuration, Credential, EngineSpec, FencingToken,
    HeldModel, ModelRef, ModelSpec, Organisation, Report, RequestKind, Route, Service, Target,
    UpstreamState,
};
use vanetally_quarantine::Quarantine;
use vanetally_types::{Incarnation, Name, Tick};

const NOW: Tick = Tick(1_000_000);
/// Runners today, at the sizes between, and in two years.
const RUNNERS: [usize; 3] = [240, 1_200, 4_800];
/// Models that a runner holds.
const HELD: usize = 2;
const SLOTS: u32 = 12;

fn models(runners: usize) -> usize {
    (runners / 5).max(96)
}

fn runner(number: usize) -> Incarnation {
    format!("r-{number}").into()
}

fn model(number: usize) -> Name {
    format!("m-{number}").into()
}

fn held(number: usize, models: usize) -> Vec<HeldModel> {
    let one =
        |k: usize| HeldModel { name: model((number + k * 31) % models), adapters: Vec::new() };
    (0..HELD).map(one).collect()
}

fn state(number: usize, models: usize) -> UpstreamState {
    UpstreamState {
        service: "llm".into(),
        address: ([10, 1, (number / 250) as u8, (number % 250) as u8], 80).into(),
        domain: format!("z{}", number % 9).into(),
        slots: SLOTS,
        draining: false,
        remaining_ms: None,
        orders_taken: 0,
        models: held(number, models),
        at_hand: Vec::new(),
    }
}

fn configuration(models: usize) -> Rc<Configuration> {
    let spec = ModelSpec {
        weights_mb: 60_000.0,
        load_s: 8.0,
        warm_s: 1.0,
        disk_s: 2.0,
        adapters: 2,
        adapter_mb: 260.0,
    };
    let engine = EngineSpec {
        slots: SLOTS,
        kv_tokens: 61_640,
        weights_mb: 200_000.0,
        max_adapters: 8,
        loads_per_s: 34.0,
        models: (0..models).map(|number| (model(number), spec.clone())).collect(),
    };
    let route = Route {
        name: "offer".into(),
        host: "site.example".into(),
        prefix: "/offer/".into(),
        kind: RequestKind::Stream,
        timeout_ms: 15_000,
        target_ms: 1_000,
        gap_ms: Some(400),
        priority: 1,
        targets: vec![Target { service: "llm".into(), weight: 1 }],
        max_attempts: 1,
        resumable: false,
        is_open: false,
    };
    let service = Service { name: "llm".into(), max_connections: 1_900, engine: Some(engine) };
    Rc::new(Configuration {
        version: 1,
        routes: vec![route],
        services: BTreeMap::from([("llm".into(), service)]),
        limits: CallerLimits::default(),
        organisations: None,
    })
}

fn dispatch(runners: usize) -> Dispatch {
    let options = Options {
        host: "front-0".into(),
        domain: "z1".into(),
        retry_budget: RetryBudgetOptions { ratio: 0.2, window_ms: 10_000, slack: 630.0 },
        grace_ms: 8_000,
        revoke_ms: None,
    };
    let mut dispatch = Dispatch::new(NOW, options);
    dispatch.handle(NOW, Event::Configured(configuration(models(runners))));
    for number in 0..runners {
        let (id, state) = (runner(number), state(number, models(runners)));
        dispatch.handle(NOW, Event::UpstreamSeen { id, state });
    }
    dispatch
}

fn request(number: u64, models: usize) -> CallerRequest {
    CallerRequest {
        id: format!("{number:016x}").into(),
        host: "site.example".into(),
        path: "/offer/1".into(),
        wait_ms: Some(15_000),
        credential: vanetally_ports::Credential::Missing,
        has_token_count: true,
        model: Some(ModelRef { model: model(number as usize % models), adapter: None }),
        prompt_tokens: 1_460,
        output_tokens: 174,
        parts: Vec::new(),
        last_event: None,
    }
}

/// A request arrives and an engine is chosen for it; its caller leaves.
fn choose(c: &mut Criterion) {
    let mut group = c.benchmark_group("choose a runner");
    for runners in RUNNERS {
        let mut dispatch = dispatch(runners);
        let mut number = 0;
        group.bench_function(BenchmarkId::from_parameter(runners), |b| {
            b.iter(|| {
                number += 1;
                let (id, request) = (RequestId(number), request(number, models(runners)));
                let actions = dispatch.handle(NOW, Event::Arrived { id, request, content_hash: 0 });
                assert!(matches!(actions[..], [Action::Reserve { .. }]), "{actions:?}");
                dispatch.handle(NOW, Event::CallerLeft { id })
            });
        });
    }
    group.finish();
}

/// Organisations in two years, by the word of this page only: today they are 16.
const ORGANISATIONS: usize = 10_000;
/// Contents that are kept back meanwhile.
const KEPT_BACK: u64 = 4_000;

fn key(number: usize) -> CallerKey {
    CallerKey::new(&format!("key-{number}"))
}

/// The same with a key that is looked up twice, and a content that is none of those kept back.
fn choose_with_keys(c: &mut Criterion) {
    let mut group = c.benchmark_group("choose a runner, keys of 10,000 organisations");
    for runners in RUNNERS {
        let mut dispatch = dispatch(runners);
        let organisation = |number| Organisation {
            name: format!("o-{number}").into(),
            keys: vec![key(number)],
            priority: Some(1),
            quota: None,
        };
        let organisations = (0..ORGANISATIONS).map(organisation).collect();
        let plain = configuration(models(runners));
        let keyed =
            Configuration { version: 2, organisations: Some(organisations), ..(*plain).clone() };
        dispatch.handle(NOW, Event::Configured(Rc::new(keyed)));
        for content in 1..=KEPT_BACK {
            let quarantine = Quarantine { content, for_ms: 60_000, ended: 2, age_ms: None };
            dispatch.handle(NOW, Event::Quarantined(quarantine));
        }
        let mut number = 0;
        group.bench_function(BenchmarkId::from_parameter(runners), |b| {
            b.iter(|| {
                number += 1;
                let id = RequestId(number);
                let credential = Credential::Key(key(number as usize % ORGANISATIONS));
                let request = CallerRequest { credential, ..request(number, models(runners)) };
                let actions = dispatch.handle(NOW, Event::Arrived { id, request, content_hash: 0 });
                assert!(matches!(actions[..], [Action::Reserve { .. }]), "{actions:?}");
                dispatch.handle(NOW, Event::CallerLeft { id })
            });
        });
    }
    group.finish();
}

fn sum(runners: usize, running: u32) -> Digest {
    let row = |number| LoadRow {
        upstream: runner(number),
        running,
        unread_tokens: 1_000,
        held_tokens: 9_000,
        good: 2,
        bad: 0,
        limit: None,
    };
    Digest { loads: (0..runners).map(row).collect(), demand: Vec::new() }
}

/// The sum of all hosts' loads is taken in.
fn take_sum(c: &mut Criterion) {
    let mut group = c.benchmark_group("take a sum");
    for runners in RUNNERS {
        let mut dispatch = dispatch(runners);
        let mut totals = Totals::default();
        let mut running = 0;
        group.bench_function(BenchmarkId::from_parameter(runners), |b| {
            let next = || {
                running = running % SLOTS + 1;
                sum(runners, running)
            };
            b.iter_batched(
                next,
                |digest| {
                    totals.record_sum(NOW, "front-2".into(), digest.loads.clone());
                    let event = Event::PeerDigest { host: "front-2".into(), digest };
                    black_box(dispatch.handle(NOW, event))
                },
                BatchSize::SmallInput,
            );
        });
    }
    group.finish();
}

/// Demand for each model, some of them ten times as much asked for as others.
fn demand(models: usize) -> Vec<DemandSample> {
    let sample = |number: usize| DemandSample {
        service: "llm".into(),
        subject: ModelRef { model: model(number), adapter: None },
        arrived: 10,
        work_ms: if number.is_multiple_of(10) { 3_000 } else { 300 },
    };
    (0..models).map(sample).collect()
}

/// One round of the plan, with all reports there and more models crowded than can be helped at once.
fn plan(c: &mut Criterion) {
    let mut group = c.benchmark_group("a round of the plan");
    for runners in RUNNERS {
        let mut now = NOW;
        let mut holder =
            Placement::new(placement::Options { holder: "front-1".into(), load_window_ms: 5_000 });
        holder.handle(now, placement::Event::Configured(configuration(models(runners))));
        for number in 0..runners {
            let (id, state) = (runner(number), state(number, models(runners)));
            holder.handle(now, placement::Event::UpstreamSeen { id, state });
        }
        holder.handle(now, placement::Event::Token(Some(FencingToken(9))));
        for number in 0..runners {
            let report = Report { models: held(number, models(runners)), ..Report::default() };
            let (runner, asked) = (runner(number), now);
            let reported =
                placement::Event::Reported { runner, requested_at: asked, report: Some(report) };
            holder.handle(now, reported);
        }
        group.bench_function(BenchmarkId::from_parameter(runners), |b| {
            b.iter(|| {
                now = now + 40;
                let samples = demand(models(runners));
                holder.handle(now, placement::Event::Demand(samples));
                black_box(holder.handle(now, placement::Event::Tick))
            });
        });
    }
    group.finish();
}

/// A moment at an engine that a breaker keeps requests off, and the end that opened it.
fn breaker(c: &mut Criterion) {
    let mut pacer = Pacer::default();
    let mut number = 0;
    c.bench_function("a bad end and a question to the pacer", |b| {
        b.iter(|| {
            number += 1;
            let prompt = Prompt {
                upstream: runner(number % 320),
                model: model(7),
                shared: Vec::new(),
                tokens: 1_460,
                per_token_us: 60,
                gap_ms: 400,
            };
            let now = Tick(NOW.0 + number as u64);
            black_box(pacer.record_outcome(now, &prompt.upstream, false));
            pacer.reserve(now, &prompt)
        });
    });
}

fn config() -> Criterion {
    Criterion::default()
        .sample_size(20)
        .warm_up_time(Duration::from_millis(500))
        .measurement_time(Duration::from_secs(2))
}

criterion_group! {
    name = fleet;
    config = config();
    targets = choose, choose_with_keys, take_sum, plan, breaker
}
criterion_main!(fleet);
