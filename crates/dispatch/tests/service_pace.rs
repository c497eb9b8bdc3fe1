//! Choice among the upstreams of a plain service by the time that they take to answer.

mod support;

use rstest::rstest;
use std::collections::BTreeMap;
use support::{Host, request, route, sent_to, upstream};
use vanetally_dispatch::{AttemptEnd, Event, RequestId};
use vanetally_ports::RequestKind;
use vanetally_types::Name;

/// Callers that send one request after the other, as many as one upstream has slots.
const CALLERS: usize = 4;

/// A host under light load, and the answer times of its upstreams.
struct Load {
    host: Host,
    callers: usize,
    took_ms: BTreeMap<Name, u64>,
    /// Open requests with the time of their answers.
    open: Vec<(u64, RequestId)>,
    next: u64,
}

impl Load {
    fn new(took_ms: &[(&str, u64)]) -> Self {
        let host = Host::new(vec![route("check", RequestKind::Idempotent, "desk")]);
        let mut load =
            Self { host, callers: CALLERS, took_ms: BTreeMap::new(), open: Vec::new(), next: 0 };
        took_ms.iter().for_each(|(name, ms)| load.add(name, *ms));
        load
    }

    fn add(&mut self, name: &str, took_ms: u64) {
        self.took_ms.insert(name.into(), took_ms);
        let port = self.took_ms.len() as u16;
        self.host.announce(name, upstream("desk", port, &[]));
    }

    /// Sends requests for `ms`; returns the share of each upstream.
    fn run(&mut self, ms: u64) -> BTreeMap<Name, f64> {
        let mut counts: BTreeMap<Name, f64> = BTreeMap::new();
        let end = self.host.now + ms;
        while self.host.now < end {
            let now = self.host.now.0;
            let (answered, open): (Vec<_>, Vec<_>) =
                self.open.drain(..).partition(|(at, _)| *at <= now);
            self.open = open;
            for (_, id) in answered {
                self.host.handle(Event::FirstPiece { id });
                self.host.end_attempt(id, AttemptEnd::Served);
            }
            while self.open.len() < self.callers {
                self.next += 1;
                let (id, actions) =
                    self.host.arrive(request(&format!("r{}", self.next), "check", None));
                let name = sent_to(&actions, id).id.clone();
                self.open.push((now + self.took_ms[&name], id));
                *counts.entry(name).or_default() += 1.0;
            }
            self.host.now = self.host.now + 1;
        }
        let total: f64 = counts.values().sum();
        counts.into_iter().map(|(name, count)| (name, count / total)).collect()
    }
}

fn share(shares: &BTreeMap<Name, f64>, name: &str) -> f64 {
    shares.get(name).copied().unwrap_or(0.0)
}

/// Whether a service answers in a few milliseconds or in a second, a new upstream gets between a third and twice its
/// fair share in its first two seconds.
#[rstest]
#[case::fast(3)]
#[case::usual(40)]
#[case::slow(200)]
fn new_upstream(#[case] took_ms: u64) {
    let mut load = Load::new(&[("d-1", took_ms), ("d-2", took_ms), ("d-3", took_ms)]);
    load.run(5_000);
    load.add("d-4", took_ms);
    let new = share(&load.run(2_000), "d-4");
    assert!((1.0 / 12.0..=0.5).contains(&new), "{new}");
}

/// An upstream that was slow for a second is used again within a second once it is as fast as the others.
#[rstest]
#[case::fast(3)]
#[case::usual(40)]
fn fast_again(#[case] took_ms: u64) {
    let mut load = Load::new(&[("d-1", took_ms), ("d-2", took_ms)]);
    load.run(5_000);
    load.took_ms.insert("d-1".into(), 20 * took_ms);
    load.run(1_000);
    load.took_ms.insert("d-1".into(), took_ms);
    load.run(1_000);
    let again = share(&load.run(1_000), "d-1");
    assert!(again > 0.25, "{again}");
}

/// One that is four times slower than the others gets under half of its fair share, as soon as two seconds later.
#[test]
fn slow_upstream() {
    let mut load = Load::new(&[("d-1", 40), ("d-2", 40), ("d-3", 40)]);
    load.run(5_000);
    load.took_ms.insert("d-1".into(), 160);
    load.run(2_000);
    let slow = share(&load.run(4_000), "d-1");
    assert!(slow < 1.0 / 6.0, "{slow}");
}

/// The upstream of the own failure domain is preferred again, although its last answers were slow.
#[test]
fn own_domain_again() {
    let mut load = Load::new(&[("near", 60)]);
    load.callers = 1;
    let mut far = upstream("desk", 9, &[]);
    far.domain = "z2".into();
    load.host.announce("far", far);
    load.took_ms.insert("far".into(), 2);
    load.run(300);
    load.host.handle(Event::Evacuated(std::rc::Rc::new(["z1".into()].into())));
    load.took_ms.insert("near".into(), 2);
    load.run(5_000);
    load.host.handle(Event::Evacuated(std::rc::Rc::default()));
    let near = share(&load.run(1_000), "near");
    assert!(near > 0.9, "{near}");
}
