//! The demand for one model rises within seconds, while that for many others stays constant.

use std::{collections::BTreeMap, rc::Rc};
use vanetally_placement::{Action, DemandSample, Event, Options, Placement};
use vanetally_ports::{
    CallerLimits, Configuration, EngineSpec, FencingToken, HeldModel, ModelRef, ModelSpec,
    Operation, Order, OrderOutcome, Report, Service, UpstreamState,
};
use vanetally_types::{Incarnation, Name, Tick};

const RUNNER_COUNT: usize = 40;
/// Number of requested models, the one with rising demand first; three runners hold each.
const MODEL_COUNT: usize = 25;
const HOT_MODEL: &str = "m0";
const START: Tick = Tick(1_000_000);

/// A placement with runners that accept every order and need eight seconds for a load.
struct Fleet {
    placement: Placement,
    now: Tick,
    orders: Vec<Order>,
    accepted: BTreeMap<Incarnation, u64>,
}

impl Fleet {
    fn new() -> Self {
        let options = Options { holder: "front-1".into(), load_window_ms: 5_000 };
        let mut fleet = Self {
            placement: Placement::new(options),
            now: START,
            orders: Vec::new(),
            accepted: BTreeMap::new(),
        };
        fleet.handle(Event::Configured(configuration()));
        for number in 0..RUNNER_COUNT {
            let (id, state) = (runner(number), state(number));
            fleet.handle(Event::UpstreamSeen { id, state });
        }
        fleet.handle(Event::Token(Some(FencingToken(9))));
        fleet.handle(Event::Tick);
        for number in 0..RUNNER_COUNT {
            let report = Report { models: held(number), ..Report::default() };
            let (runner, requested_at) = (runner(number), fleet.now);
            fleet.handle(Event::Reported { runner, requested_at, report: Some(report) });
        }
        fleet.orders.clear();
        fleet
    }

    fn handle(&mut self, event: Event) {
        let mut events = vec![event];
        while let Some(event) = events.pop() {
            for action in self.placement.handle(self.now, event) {
                if let Action::Order { order, .. } = action {
                    *self.accepted.entry(order.runner.clone()).or_default() += 1;
                    self.orders.push(order.clone());
                    events.push(Event::OrderAnswered { order, outcome: OrderOutcome::Accepted });
                }
            }
        }
    }

    /// Simulates `millis` milliseconds. The load of the hot model grows by `load_growth` each
    /// second.
    fn simulate(&mut self, millis: u64, load_growth: f64, is_saturated: bool) {
        for step in 0..millis / 100 {
            self.now = self.now + 100;
            let seconds = (step as f64) / 10.0;
            let sample = |number: usize| {
                let load = if number == 0 { 0.6 + load_growth * seconds } else { 1.2 };
                sample(number, load)
            };
            self.handle(Event::Demand((0..MODEL_COUNT).map(sample).collect()));
            if is_saturated && step % 3 == 0 {
                let subject = ModelRef { model: HOT_MODEL.into(), adapter: None };
                self.handle(Event::Requested {
                    service: "llm".into(),
                    subject,
                    is_saturated: true,
                });
            }
            self.handle(Event::Tick);
        }
    }

    fn loads(&self, matches: impl Fn(&str) -> bool) -> usize {
        let loads = self.orders.iter().filter(|order| order.operation == Operation::Load);
        loads.filter(|order| matches(&order.subject.model)).count()
    }
}

fn sample(number: usize, load: f64) -> DemandSample {
    let subject = ModelRef { model: model(number), adapter: None };
    let work_ms = (load * 100.0) as u32;
    DemandSample { service: "llm".into(), subject, arrived: 1, work_ms }
}

fn model(number: usize) -> Name {
    format!("m{number}").into()
}

fn runner(number: usize) -> Incarnation {
    format!("r{number:02}").into()
}

/// Each runner holds two models and has memory for one more.
fn held(number: usize) -> Vec<HeldModel> {
    let held = |model_number: usize| HeldModel {
        name: model(model_number % MODEL_COUNT),
        adapters: Vec::new(),
    };
    vec![held(number), held(number + 12)]
}

fn state(number: usize) -> UpstreamState {
    UpstreamState {
        service: "llm".into(),
        address: ([10, 0, 0, number as u8], 80).into(),
        domain: format!("z{}", number % 3).into(),
        slots: 12,
        draining: false,
        remaining_ms: None,
        cold_ms: 0,
        orders_taken: 0,
        models: held(number),
        at_hand: Vec::new(),
        software_version: "v1".into(),
    }
}

fn configuration() -> Rc<Configuration> {
    let spec = ModelSpec {
        weights_mb: 60.0,
        load_s: 8.0,
        warm_s: 1.0,
        disk_s: 2.0,
        adapters: 0,
        adapter_mb: 1.0,
    };
    let engine = EngineSpec {
        slots: 12,
        kv_tokens: 60_000,
        weights_mb: 190.0,
        max_adapters: 3,
        loads_per_s: 10.0,
        models: (0..MODEL_COUNT).map(|number| (model(number), spec.clone())).collect(),
    };
    let service = Service {
        name: "llm".into(),
        max_connections: 900,
        engine: Some(engine),
        cold_start: None,
        health_path: None,
    };
    Rc::new(Configuration {
        version: 1,
        routes: Vec::new(),
        services: BTreeMap::from([("llm".into(), service)]),
        limits: CallerLimits::default(),
        organisations: None,
    })
}

/// Orders for models whose callers don't wait must not use up all orders that may be in progress at
/// once: a model whose demand exceeds its replicas would get almost no more of them for seconds.
#[test]
fn saturated_model_first() {
    let mut fleet = Fleet::new();
    fleet.simulate(4_000, 0.0, false);
    let others = fleet.loads(|model| model != HOT_MODEL);
    assert!(others >= RUNNER_COUNT / 3, "{others} loads of others in progress");
    let before = fleet.loads(|model| model == HOT_MODEL);
    fleet.simulate(2_000, 0.6, true);
    let hot = fleet.loads(|model| model == HOT_MODEL) - before;
    assert!(hot >= 4, "{hot} more replicas");
}

/// Loads for unsaturated models leave some runners available for later demand.
#[test]
fn runners_stay_available() {
    let mut fleet = Fleet::new();
    fleet.simulate(3_000, 0.6, false);
    let all = fleet.loads(|_| true);
    assert!(all <= RUNNER_COUNT * 6 / 10, "{all} loads");
}

/// The replicas of a saturated model at most double while the first new ones are loading.
#[test]
fn at_most_doubled() {
    let mut fleet = Fleet::new();
    fleet.simulate(3_000, 0.0, true);
    let hot = fleet.loads(|model| model == HOT_MODEL);
    let held = (0..RUNNER_COUNT).filter(|n| held(*n).iter().any(|h| &*h.name == HOT_MODEL)).count();
    assert!(hot <= held + 2, "{hot} loads beside {held} replicas");
}
