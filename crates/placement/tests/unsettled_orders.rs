//! Long walks of a holder of orders and one runner that starts again and again under its id, while orders are lost or
//! carried out late, by whatever life is there when they come: its memory is never overcommitted.

mod support;

use proptest::prelude::*;
use std::collections::BTreeSet;
use support::{Holder, report, state};
use vanetally_placement::Event;
use vanetally_ports::{FencingToken, Operation, Order, OrderOutcome};
use vanetally_types::{Incarnation, Name, Tick};

/// Models that fit into the runner's memory.
const FIT: usize = 2;
/// No order comes later than this after it was sent, in milliseconds.
const LATEST_MS: u64 = 50_000;
const MODELS: [&str; 4] = ["m1", "m2", "m3", "m4"];

/// One thing that happens. Numbers choose among what is there.
#[derive(Clone, Copy, Debug)]
enum Step {
    Pass(u64),
    Want(usize),
    /// An order comes to the runner, and its answer to the holder.
    Deliver(usize),
    /// The holder gives an order up; it stays on its way.
    GiveUp(usize),
    /// An order that was given up comes to the runner when that expects it.
    ComeLate,
    Restart,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        3 => prop_oneof![Just(100), Just(1_700)].prop_map(Step::Pass),
        4 => (0..MODELS.len()).prop_map(Step::Want),
        6 => (0..2_usize).prop_map(Step::Deliver),
        2 => (0..2_usize).prop_map(Step::GiveUp),
        4 => Just(Step::ComeLate),
        1 => Just(Step::Restart),
    ]
}

/// The holder, the runner, and orders on their way.
struct World {
    holder: Holder,
    born: u64,
    count: u64,
    held: BTreeSet<Name>,
    waiting: Vec<(Order, Tick)>,
    late: Vec<(Order, Tick)>,
}

impl World {
    fn new() -> Self {
        let mut holder = Holder::configured();
        holder.tell(Event::Token(Some(FencingToken(9))));
        holder.pass(6_000);
        let mut world = Self {
            holder,
            born: 1,
            count: 0,
            held: BTreeSet::new(),
            waiting: Vec::new(),
            late: Vec::new(),
        };
        world.announce();
        world
    }

    fn life(&self) -> Incarnation {
        Incarnation::new("r1", Some(self.born))
    }

    fn models(&self) -> Vec<&str> {
        self.held.iter().map(|model| &**model).collect()
    }

    fn announce(&mut self) {
        let state = state(&self.models(), self.count);
        self.holder.tell(Event::UpstreamSeen { id: self.life(), state });
    }

    /// The runner takes an order if it expects the right count; the id is the same in all lives.
    fn take(&mut self, order: &Order) -> OrderOutcome {
        if order.orders_before != self.count {
            return OrderOutcome::Conflict;
        }
        self.count += 1;
        match order.operation {
            Operation::Load => self.held.insert(order.subject.model.clone()),
            Operation::Unload => self.held.remove(&order.subject.model),
        };
        OrderOutcome::Accepted
    }

    fn go(&mut self, step: Step) {
        match step {
            Step::Pass(millis) => self.holder.pass(millis),
            Step::Want(model) => self.holder.want(MODELS[model], None),
            Step::Deliver(at) if at < self.waiting.len() => {
                let (order, _) = self.waiting.remove(at);
                let outcome = self.take(&order);
                self.holder.answer(order, outcome);
            }
            Step::GiveUp(at) if at < self.waiting.len() => {
                let (order, sent) = self.waiting.remove(at);
                self.late.push((order.clone(), sent));
                self.holder.answer(order, OrderOutcome::Unknown);
            }
            Step::ComeLate => {
                let expected =
                    self.late.iter().position(|(order, _)| order.orders_before == self.count);
                if let Some((order, _)) = expected.map(|at| self.late.remove(at)) {
                    self.take(&order);
                }
            }
            Step::Restart => self.restart(),
            Step::Deliver(_) | Step::GiveUp(_) => {}
        }
        // Reports always come; what they tell is the matter of other tests.
        self.report();
        self.holder.pass(100);
        self.report();
        let now = self.holder.now;
        self.waiting.extend(self.holder.orders.drain(..).map(|order| (order, now)));
        // Orders come late, but not for ever.
        self.waiting.retain(|(_, sent)| now.since(*sent) < LATEST_MS);
        self.late.retain(|(_, sent)| now.since(*sent) < LATEST_MS);
    }

    fn report(&mut self) {
        for runner in std::mem::take(&mut self.holder.asked) {
            let mut report = report(&self.models(), self.count);
            report.born = Some(self.born);
            let asked = self.holder.now;
            self.holder.tell(Event::Reported { runner, requested_at: asked, report: Some(report) });
        }
    }

    fn restart(&mut self) {
        self.holder.tell(Event::UpstreamGone { id: self.life() });
        self.born += 1;
        self.count = 0;
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

fn walk(steps: Vec<Step>) -> Result<(), TestCaseError> {
    let mut world = World::new();
    for step in steps {
        world.go(step);
        let held = world.models();
        prop_assert!(held.len() <= FIT, "{held:?} after {step:?}");
    }
    Ok(())
}

proptest! {
    #![proptest_config(config(3_000, 7))]

    #[test]
    fn never_overcommitted(steps in prop::collection::vec(step(), 60..160)) {
        walk(steps)?;
    }
}

proptest! {
    #![proptest_config(config(600, 23))]

    /// Found by this seed: an order that was not answered was sent again, the same in all it says. One copy was
    /// refused, for which both were struck from the books; the other one was carried out by a later life:
    ///
    /// `t13200 sent Load m1 @1` (twice), `t14500 Deliver` of one of them, refused at count 2,
    /// `t22100 sent Load m2 @0` beside `late ["Load m1 @1", "Load m3 @2"]`: three models where two fit.
    #[test]
    fn same_order_twice(steps in prop::collection::vec(step(), 60..160)) {
        walk(steps)?;
    }
}
