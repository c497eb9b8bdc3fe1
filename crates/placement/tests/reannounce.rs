//! What is there is told again to hosts that miss it.

mod support;

use support::{Holder, report};
use vanetally_placement::{Action, Event};
use vanetally_ports::{ModelRef, OrderOutcome, Report};

fn adapter(name: &str) -> ModelRef {
    ModelRef { model: "m1".into(), adapter: Some(name.into()) }
}

/// The announcements that follow when a host misses `subject`.
fn told(holder: &mut Holder, subject: &ModelRef) -> Vec<(String, bool)> {
    let service = "llm".into();
    let event = Event::Requested { service, subject: subject.clone(), is_saturated: false };
    let actions = holder.placement.handle(holder.now, event);
    let own = actions.into_iter().filter_map(|action| match action {
        Action::Announce { runner, subject: about, is_present, .. } if about == *subject => {
            Some((runner.id.to_string(), is_present))
        }
        _ => None,
    });
    own.collect()
}

/// Seen in a soak (seed 1796700000034, 5 of 6 plays): an adapter came 40 ms after its runner had written its entry, which
/// was not written again. After four seconds hosts believed the entry, missed the adapter and asked for it, and who gives
/// the orders did nothing, since it was there:
///
/// `event=order_sent runner=i-engine-0 operation=load model=m1 adapter=a1 count=4`
/// `event=request_refused subject=m1/a1 lack=adapter holders=0 cause=overloaded` (each two seconds, for twenty)
#[test]
fn adapter_that_is_there() {
    let mut holder = Holder::new(&[("r1", &["m1"])]);
    holder.want("m1", Some("a1"));
    let order = holder.orders.remove(0);
    holder.answer(order, OrderOutcome::Accepted);
    holder.pass(6_000);
    assert_eq!(told(&mut holder, &adapter("a1")), [("r1".to_owned(), true)]);
    assert_eq!(told(&mut holder, &adapter("a1")), [], "not again at once");
    holder.pass(600);
    assert_eq!(told(&mut holder, &adapter("a1")).len(), 1);
}

#[test]
fn model_that_is_there() {
    let mut holder = Holder::new(&[("r1", &["m1"])]);
    let model = ModelRef { model: "m1".into(), adapter: None };
    assert_eq!(told(&mut holder, &model), [("r1".to_owned(), true)]);
}

#[test]
fn what_is_not_there() {
    let mut holder = Holder::new(&[("r1", &["m1"])]);
    assert_eq!(told(&mut holder, &adapter("a1")), [], "it is ordered, and told when it comes");
    let model = ModelRef { model: "m2".into(), adapter: None };
    assert_eq!(told(&mut holder, &model), []);
}

#[test]
fn what_has_gone() {
    let mut holder = Holder::new(&[("r1", &["m1"])]);
    holder.want("m1", Some("a1"));
    let order = holder.orders.remove(0);
    holder.answer(order, OrderOutcome::Accepted);
    holder.pass(6_000);
    holder.report("r1", Report { ..report(&["m1"], 1) });
    assert_eq!(told(&mut holder, &adapter("a1")), [], "by the runner's own word");
}
