//! Held models and adapters are announced again to hosts that request them.

mod support;

use support::{Holder, report};
use vanetally_placement::{Action, Event};
use vanetally_ports::{ModelRef, OrderOutcome, Report};

fn adapter(name: &str) -> ModelRef {
    ModelRef { model: "m1".into(), adapter: Some(name.into()) }
}

/// The announcements that follow a request for `subject`.
fn announcements(holder: &mut Holder, subject: &ModelRef) -> Vec<(String, bool)> {
    let service = "llm".into();
    let event = Event::Requested { service, subject: subject.clone(), is_saturated: false };
    let actions = holder.placement.handle(holder.now, event);
    let announced = actions.into_iter().filter_map(|action| match action {
        Action::Announce { runner, subject: announced, is_present, .. }
            if announced == *subject =>
        {
            Some((runner.id.to_string(), is_present))
        }
        _ => None,
    });
    announced.collect()
}

/// An adapter is loaded just after its runner wrote its store entry, which is not written again.
/// Some seconds later hosts rely on that entry and request the adapter: the holder must announce it
/// again rather than ignore the request because the adapter is held.
#[test]
fn held_adapter() {
    let mut holder = Holder::new(&[("r1", &["m1"])]);
    holder.request("m1", Some("a1"));
    let order = holder.orders.remove(0);
    holder.answer(order, OrderOutcome::Accepted);
    holder.advance(6_000);
    assert_eq!(announcements(&mut holder, &adapter("a1")), [("r1".to_owned(), true)]);
    assert_eq!(announcements(&mut holder, &adapter("a1")), [], "not repeated at once");
    holder.advance(600);
    assert_eq!(announcements(&mut holder, &adapter("a1")).len(), 1);
}

#[test]
fn held_model() {
    let mut holder = Holder::new(&[("r1", &["m1"])]);
    let model = ModelRef { model: "m1".into(), adapter: None };
    assert_eq!(announcements(&mut holder, &model), [("r1".to_owned(), true)]);
}

#[test]
fn not_held() {
    let mut holder = Holder::new(&[("r1", &["m1"])]);
    assert_eq!(
        announcements(&mut holder, &adapter("a1")),
        [],
        "it is ordered, and announced once loaded"
    );
    let model = ModelRef { model: "m2".into(), adapter: None };
    assert_eq!(announcements(&mut holder, &model), []);
}

#[test]
fn unloaded_adapter() {
    let mut holder = Holder::new(&[("r1", &["m1"])]);
    holder.request("m1", Some("a1"));
    let order = holder.orders.remove(0);
    holder.answer(order, OrderOutcome::Accepted);
    holder.advance(6_000);
    holder.report("r1", Report { ..report(&["m1"], 1) });
    assert_eq!(
        announcements(&mut holder, &adapter("a1")),
        [],
        "the runner reports that it no longer holds it"
    );
}
