//! Simulates a holder of the order lease and one runner that restarts repeatedly under its id,
//! while orders are lost or executed late by whichever incarnation receives them. The runner's
//! memory is never overcommitted.

mod support;

use proptest::prelude::*;
use std::collections::BTreeSet;
use support::{Holder, report, state};
use vanetally_placement::Event;
use vanetally_ports::{FencingToken, Operation, Order, OrderOutcome};
use vanetally_types::{Incarnation, Name, Tick};

/// Number of models that fit into the runner's memory.
const MAX_MODELS: usize = 2;
/// Maximum time between sending and delivery of an order.
const MAX_DELAY_MS: u64 = 50_000;
const MODELS: [&str; 4] = ["m1", "m2", "m3", "m4"];

/// One step of the simulation.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// Advances the time by this many milliseconds.
    Advance(u64),
    /// Requests the model with this index.
    Request(usize),
    /// Delivers an order to the runner and its answer to the holder.
    Deliver(usize),
    /// An order times out at the holder but stays in transit.
    TimeOut(usize),
    /// Delivers a timed-out order whose expected count matches.
    DeliverLate,
    Restart,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        3 => prop_oneof![Just(100), Just(1_700)].prop_map(Step::Advance),
        4 => (0..MODELS.len()).prop_map(Step::Request),
        6 => (0..2_usize).prop_map(Step::Deliver),
        2 => (0..2_usize).prop_map(Step::TimeOut),
        4 => Just(Step::DeliverLate),
        1 => Just(Step::Restart),
    ]
}

/// The holder, the runner and the orders in transit.
struct Simulation {
    holder: Holder,
    born: u64,
    order_count: u64,
    held: BTreeSet<Name>,
    in_flight: Vec<(Order, Tick)>,
    timed_out: Vec<(Order, Tick)>,
}

impl Simulation {
    fn new() -> Self {
        let mut holder = Holder::configured();
        holder.handle(Event::Token(Some(FencingToken(9))));
        holder.advance(6_000);
        let mut simulation = Self {
            holder,
            born: 1,
            order_count: 0,
            held: BTreeSet::new(),
            in_flight: Vec::new(),
            timed_out: Vec::new(),
        };
        simulation.announce();
        simulation
    }

    fn incarnation(&self) -> Incarnation {
        Incarnation::new("r1", Some(self.born))
    }

    fn models(&self) -> Vec<&str> {
        self.held.iter().map(|model| &**model).collect()
    }

    fn announce(&mut self) {
        let state = state(&self.models(), self.order_count);
        self.holder.handle(Event::UpstreamSeen { id: self.incarnation(), state });
    }

    /// The runner accepts an order that expects its count; all incarnations share the runner id.
    fn execute(&mut self, order: &Order) -> OrderOutcome {
        if order.orders_before != self.order_count {
            return OrderOutcome::Conflict;
        }
        self.order_count += 1;
        match order.operation {
            Operation::Load => self.held.insert(order.subject.model.clone()),
            Operation::Unload => self.held.remove(&order.subject.model),
        };
        OrderOutcome::Accepted
    }

    fn run(&mut self, step: Step) {
        match step {
            Step::Advance(millis) => self.holder.advance(millis),
            Step::Request(model) => self.holder.request(MODELS[model], None),
            Step::Deliver(at) if at < self.in_flight.len() => {
                let (order, _) = self.in_flight.remove(at);
                let outcome = self.execute(&order);
                self.holder.answer(order, outcome);
            }
            Step::TimeOut(at) if at < self.in_flight.len() => {
                let (order, sent_at) = self.in_flight.remove(at);
                self.timed_out.push((order.clone(), sent_at));
                self.holder.answer(order, OrderOutcome::Unknown);
            }
            Step::DeliverLate => {
                let expected = self
                    .timed_out
                    .iter()
                    .position(|(order, _)| order.orders_before == self.order_count);
                if let Some((order, _)) = expected.map(|at| self.timed_out.remove(at)) {
                    self.execute(&order);
                }
            }
            Step::Restart => self.restart(),
            Step::Deliver(_) | Step::TimeOut(_) => {}
        }
        // Reports are always delivered; other tests cover them.
        self.report();
        self.holder.advance(100);
        self.report();
        let now = self.holder.now;
        self.in_flight.extend(self.holder.orders.drain(..).map(|order| (order, now)));
        // The delay of orders is bounded.
        self.in_flight.retain(|(_, sent_at)| now.since(*sent_at) < MAX_DELAY_MS);
        self.timed_out.retain(|(_, sent_at)| now.since(*sent_at) < MAX_DELAY_MS);
    }

    fn report(&mut self) {
        for runner in std::mem::take(&mut self.holder.report_requests) {
            let mut report = report(&self.models(), self.order_count);
            report.born = Some(self.born);
            let requested_at = self.holder.now;
            self.holder.handle(Event::Reported { runner, requested_at, report: Some(report) });
        }
    }

    fn restart(&mut self) {
        self.holder.handle(Event::UpstreamGone { id: self.incarnation() });
        self.born += 1;
        self.order_count = 0;
        self.held.clear();
        self.announce();
    }
}

fn config(cases: u32, seed: u64) -> ProptestConfig {
    ProptestConfig {
        cases,
        rng_seed: proptest::test_runner::RngSeed::Fixed(seed),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

fn simulate(steps: Vec<Step>) -> Result<(), TestCaseError> {
    let mut simulation = Simulation::new();
    for step in steps {
        simulation.run(step);
        let held = simulation.models();
        prop_assert!(held.len() <= MAX_MODELS, "{held:?} after {step:?}");
    }
    Ok(())
}

proptest! {
    #![proptest_config(config(3_000, 7))]

    #[test]
    fn never_overcommitted(steps in prop::collection::vec(step(), 60..160)) {
        simulate(steps)?;
    }
}

proptest! {
    #![proptest_config(config(600, 23))]

    /// An unanswered order is sent again with the same contents. One copy is refused; the other one
    /// must stay unsettled, because a later incarnation may still execute it. This seed contains
    /// the sequence: `Load m1 @1` is sent twice and one copy is refused at count 2; `Load m2 @0` is
    /// sent while `Load m1 @1` and `Load m3 @2` are still in transit: three models where two fit.
    #[test]
    fn resent_order(steps in prop::collection::vec(step(), 60..160)) {
        simulate(steps)?;
    }
}
