//! Demand moves to one model within seconds, beside many that are asked for as before.

use std::{collections::BTreeMap, rc::Rc};
use vanetally_placement::{Action, DemandSample, Event, Options, Placement};
use vanetally_ports::{
    CallerLimits, Configuration, EngineSpec, FencingToken, HeldModel, ModelRef, ModelSpec,
    Operation, Order, OrderOutcome, Report, Service, UpstreamState,
};
use vanetally_types::{Incarnation, Name, Tick};

const RUNNERS: usize = 40;
/// Models that are asked for, the rising one first; each is held by three runners.
const MODELS: usize = 25;
const HOT: &str = "m0";
const START: Tick = Tick(1_000_000);

/// The holder of orders, with runners that take every order and need eight seconds for a load.
struct Fleet {
    placement: Placement,
    now: Tick,
    orders: Vec<Order>,
    taken: BTreeMap<Incarnation, u64>,
}

impl Fleet {
    fn new() -> Self {
        let options = Options { holder: "front-1".into(), load_window_ms: 5_000 };
        let mut fleet = Self {
            placement: Placement::new(options),
            now: START,
            orders: Vec::new(),
            taken: BTreeMap::new(),
        };
        fleet.tell(Event::Configured(configuration()));
        for number in 0..RUNNERS {
            let (id, state) = (runner(number), state(number));
            fleet.tell(Event::UpstreamSeen { id, state });
        }
        fleet.tell(Event::Token(Some(FencingToken(9))));
        fleet.tell(Event::Tick);
        for number in 0..RUNNERS {
            let report = Report { models: held(number), ..Report::default() };
            let (runner, asked) = (runner(number), fleet.now);
            fleet.tell(Event::Reported { runner, requested_at: asked, report: Some(report) });
        }
        fleet.orders.clear();
        fleet
    }

    fn tell(&mut self, event: Event) {
        let mut events = vec![event];
        while let Some(event) = events.pop() {
            for action in self.placement.handle(self.now, event) {
                if let Action::Order { order, .. } = action {
                    *self.taken.entry(order.runner.clone()).or_default() += 1;
                    self.orders.push(order.clone());
                    events.push(Event::OrderAnswered { order, outcome: OrderOutcome::Accepted });
                }
            }
        }
    }

    /// Plays so long; `rising` is how much of the demand for the hot model comes on top, each second.
    fn play(&mut self, millis: u64, rising: f64, is_saturated: bool) {
        for step in 0..millis / 100 {
            self.now = self.now + 100;
            let seconds = (step as f64) / 10.0;
            let sample = |number: usize| {
                let load = if number == 0 { 0.6 + rising * seconds } else { 1.2 };
                sample(number, load)
            };
            self.tell(Event::Demand((0..MODELS).map(sample).collect()));
            if is_saturated && step % 3 == 0 {
                let subject = ModelRef { model: HOT.into(), adapter: None };
                self.tell(Event::Requested { service: "llm".into(), subject, is_saturated: true });
            }
            self.tell(Event::Tick);
        }
    }

    fn loads(&self, of: impl Fn(&str) -> bool) -> usize {
        let loads = self.orders.iter().filter(|order| order.operation == Operation::Load);
        loads.filter(|order| of(&order.subject.model)).count()
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

/// Two models on each runner, and room for one more.
fn held(number: usize) -> Vec<HeldModel> {
    let held = |model_number: usize| HeldModel {
        name: model(model_number % MODELS),
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
        orders_taken: 0,
        models: held(number),
        at_hand: Vec::new(),
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
        models: (0..MODELS).map(|number| (model(number), spec.clone())).collect(),
    };
    let service = Service { name: "llm".into(), max_connections: 900, engine: Some(engine) };
    Rc::new(Configuration {
        version: 1,
        routes: Vec::new(),
        services: BTreeMap::from([("llm".into(), service)]),
        limits: CallerLimits::default(),
        organisations: None,
    })
}

/// Found in a played day: the demand for one model rose to 98 requests a second, which eleven replicas could
/// not serve; 234 of 256 refusals were its. For six seconds it got two more, since other models, whose
/// callers did not wait, had taken all orders that may be under way at once.
#[test]
fn waiting_callers_first() {
    let mut fleet = Fleet::new();
    fleet.play(4_000, 0.0, false);
    let others = fleet.loads(|model| model != HOT);
    assert!(others >= RUNNERS / 3, "{others} others are under way");
    let before = fleet.loads(|model| model == HOT);
    fleet.play(2_000, 0.6, true);
    let hot = fleet.loads(|model| model == HOT) - before;
    assert!(hot >= 4, "{hot} replicas more");
}

/// What nobody waits for leaves runners free for what may come.
#[test]
fn others_leave_room() {
    let mut fleet = Fleet::new();
    fleet.play(3_000, 0.6, false);
    let all = fleet.loads(|_| true);
    assert!(all <= RUNNERS * 6 / 10, "{all} loads");
}

/// Replicas of a crowded model are doubled at most while the first ones come.
#[test]
fn doubled_at_most() {
    let mut fleet = Fleet::new();
    fleet.play(3_000, 0.0, true);
    let hot = fleet.loads(|model| model == HOT);
    let held = (0..RUNNERS).filter(|n| held(*n).iter().any(|h| &*h.name == HOT)).count();
    assert!(hot <= held + 2, "{hot} beside {held}");
}
