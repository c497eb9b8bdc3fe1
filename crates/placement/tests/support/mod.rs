//! Test driver for a placement that holds the order lease.

// Each test file uses only some of these functions.
#![allow(dead_code)]

use std::{collections::BTreeMap, rc::Rc};
use vanetally_placement::{Action, DemandSample, Event, Options, Placement};
use vanetally_ports::{
    CallerLimits, Configuration, EngineSpec, FencingToken, HeldModel, ModelRef, ModelSpec,
    Operation, Order, OrderOutcome, Report, Service, UpstreamState,
};
use vanetally_types::{Incarnation, Name, Tick};

pub const START: Tick = Tick(1_000_000);
/// Time within which a planning round accounts for a change.
pub const ROUND_MS: u64 = 40;

/// A placement that holds the order lease, with the actions it returned.
pub struct Holder {
    pub placement: Placement,
    pub now: Tick,
    pub orders: Vec<Order>,
    pub report_requests: Vec<Incarnation>,
    pub resigned: bool,
}

impl Holder {
    /// A holder with a configuration and without runners.
    pub fn configured() -> Self {
        let options = Options { holder: "front-1".into(), load_window_ms: 5_000 };
        let mut holder = Self {
            placement: Placement::new(options),
            now: START,
            orders: Vec::new(),
            report_requests: Vec::new(),
            resigned: false,
        };
        holder.handle(Event::Configured(configuration()));
        holder
    }

    /// A holder with `runners`, each with the models that it holds and has reported.
    pub fn new(runners: &[(&str, &[&str])]) -> Self {
        let mut holder = Self::configured();
        for (id, models) in runners {
            holder.handle(Event::UpstreamSeen { id: (*id).into(), state: state(models, 0) });
        }
        holder.handle(Event::Token(Some(FencingToken(9))));
        holder.handle(Event::Tick);
        for (id, models) in runners {
            holder.report(id, report(models, 0));
        }
        holder.orders.clear();
        holder
    }

    pub fn handle(&mut self, event: Event) {
        for action in self.placement.handle(self.now, event) {
            match action {
                Action::Order { order, .. } => self.orders.push(order),
                Action::RequestReport { runner, .. } => self.report_requests.push(runner),
                Action::Resign => self.resigned = true,
                Action::Announce { .. } => {}
            }
        }
    }

    pub fn report(&mut self, runner: &str, report: Report) {
        let requested_at = self.now;
        self.handle(Event::Reported { runner: runner.into(), requested_at, report: Some(report) });
    }

    pub fn answer(&mut self, order: Order, outcome: OrderOutcome) {
        self.handle(Event::OrderAnswered { order, outcome });
    }

    pub fn request(&mut self, model: &str, adapter: Option<&str>) {
        let subject = ModelRef { model: model.into(), adapter: adapter.map(Name::from) };
        self.handle(Event::Requested { service: "llm".into(), subject, is_saturated: false });
    }

    pub fn demand(&mut self, model: &str, work_ms: u32) {
        self.handle(Event::Demand(vec![DemandSample {
            service: "llm".into(),
            subject: ModelRef { model: model.into(), adapter: None },
            arrived: 10,
            work_ms,
        }]));
    }

    pub fn advance(&mut self, millis: u64) {
        let end = self.now + millis;
        while self.now < end {
            self.now = self.now + 20;
            self.handle(Event::Tick);
        }
    }

    pub fn loads(&self, model: &str) -> Vec<&Order> {
        let loads = self.orders.iter().filter(|order| order.operation == Operation::Load);
        loads.filter(|order| &*order.subject.model == model).collect()
    }
}

pub fn configuration() -> Rc<Configuration> {
    let model = ModelSpec {
        weights_mb: 60.0,
        load_s: 8.0,
        warm_s: 1.0,
        disk_s: 2.0,
        adapters: 8,
        adapter_mb: 1.0,
    };
    let models = ["m1", "m2", "m3", "m4"].map(|name| (Name::from(name), model.clone()));
    let engine = EngineSpec {
        slots: 8,
        kv_tokens: 10_000,
        weights_mb: 130.0,
        max_adapters: 3,
        loads_per_s: 1.0,
        models: BTreeMap::from(models),
    };
    let service = Service {
        name: "llm".into(),
        max_connections: 9,
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

pub fn held(models: &[&str]) -> Vec<HeldModel> {
    let held = |name: &&str| HeldModel { name: (*name).into(), adapters: Vec::new() };
    models.iter().map(held).collect()
}

pub fn state(models: &[&str], orders_taken: u64) -> UpstreamState {
    UpstreamState {
        service: "llm".into(),
        address: ([10, 0, 0, 1], 80).into(),
        domain: "z1".into(),
        slots: 8,
        draining: false,
        remaining_ms: None,
        cold_ms: 0,
        orders_taken,
        models: held(models),
        at_hand: Vec::new(),
        software_version: "v1".into(),
    }
}

pub fn report(models: &[&str], orders_taken: u64) -> Report {
    Report { models: held(models), orders_taken, ..Report::default() }
}
