//! Evacuated failure domains: models that only their runners hold are loaded elsewhere.

mod support;

use std::{collections::BTreeSet, rc::Rc};
use support::{Holder, report, state};
use vanetally_placement::Event;
use vanetally_ports::{FencingToken, UpstreamState};
use vanetally_types::Name;

fn evacuate(holder: &mut Holder, domains: &[&str]) {
    let domains: BTreeSet<Name> = domains.iter().map(|domain| Name::from(*domain)).collect();
    holder.handle(Event::Evacuated(Rc::new(domains)));
}

/// A runner in `z1` that holds `m1`, and one in `z2` that holds `m2`.
fn holder() -> Holder {
    let mut holder = Holder::configured();
    for (id, model, domain) in [("r-1", "m1", "z1"), ("r-2", "m2", "z2")] {
        let state = UpstreamState { domain: domain.into(), ..state(&[model], 0) };
        holder.handle(Event::UpstreamSeen { id: id.into(), state });
    }
    holder.handle(Event::Token(Some(FencingToken(9))));
    holder.handle(Event::Tick);
    holder.report("r-1", report(&["m1"], 0));
    holder.report("r-2", report(&["m2"], 0));
    holder
}

#[test]
fn loaded_elsewhere() {
    let mut holder = holder();
    holder.request("m1", None);
    assert!(holder.loads("m1").is_empty(), "it is held");
    evacuate(&mut holder, &["z1"]);
    holder.request("m1", None);
    holder.advance(2_000);
    let loads = holder.loads("m1");
    assert!(!loads.is_empty(), "{:?}", holder.orders);
    assert!(loads.iter().all(|order| &*order.runner.id == "r-2"), "{loads:?}");
}

#[test]
fn no_orders_until_return() {
    let mut holder = holder();
    evacuate(&mut holder, &["z1", "z2"]);
    holder.request("m3", None);
    holder.advance(2_000);
    assert!(holder.orders.is_empty(), "{:?}", holder.orders);
    evacuate(&mut holder, &[]);
    holder.request("m3", None);
    holder.advance(2_000);
    assert!(!holder.loads("m3").is_empty());
}

/// A new holder starts from the announcements; the evacuation remains.
#[test]
fn outlasts_new_token() {
    let mut holder = holder();
    evacuate(&mut holder, &["z1"]);
    holder.handle(Event::Token(Some(FencingToken(10))));
    holder.report_requests.clear();
    holder.advance(1_000);
    assert!(holder.report_requests.iter().all(|runner| &*runner.id == "r-2"));
    assert!(!holder.report_requests.is_empty());
}
