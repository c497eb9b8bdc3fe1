//! A deployment with two failure domains, and the source selection of its hosts.

// Each test binary uses only some of these helpers.
#![allow(dead_code)]

use vanetally_fanout::{
    Action, Candidate, Event, MAX_DIRECT_READERS, Reason, Source, SourceSelector,
};
use vanetally_types::{Name, Tick};

const DOMAINS: [&str; 2] = ["z1", "z2"];
pub const HOSTS: usize = MAX_DIRECT_READERS + 8;

pub fn candidates() -> Vec<Candidate> {
    let one = |number: usize| Candidate {
        host: format!("h{number}").into(),
        domain: DOMAINS[number % DOMAINS.len()].into(),
        capacity: 12,
    };
    (0..HOSTS).map(one).collect()
}

/// Returns the hosts of the first domain in the order of preference.
pub fn order() -> Vec<Name> {
    let mut remaining: Vec<Candidate> =
        candidates().into_iter().filter(|candidate| &*candidate.domain == "z1").collect();
    let other_domain = candidates().into_iter().filter(|candidate| &*candidate.domain == "z2");
    let other_domain: Vec<Candidate> = other_domain.collect();
    let mut order = Vec::new();
    while !remaining.is_empty() {
        let all: Vec<Candidate> = remaining.iter().chain(&other_domain).cloned().collect();
        // A short list would make all hosts aggregators, so hosts of a third domain are added.
        let padding = (0..HOSTS).map(|number| Candidate {
            host: format!("pad{number}").into(),
            domain: "z3".into(),
            capacity: 1,
        });
        let all: Vec<Candidate> = all.into_iter().chain(padding).collect();
        let first = vanetally_fanout::aggregators(&all);
        let first = first.into_iter().find(|host| remaining.iter().any(|c| c.host == **host));
        let first = first.unwrap().clone();
        remaining.retain(|candidate| candidate.host != first);
        order.push(first);
    }
    order
}

pub fn root() -> Name {
    vanetally_fanout::root(&candidates()).unwrap().clone()
}

/// Returns the aggregator that is not the root, and its domain.
pub fn other_aggregator() -> (Name, Name) {
    let all = candidates();
    let aggregators = vanetally_fanout::aggregators(&all);
    let host = aggregators.into_iter().find(|host| **host != root()).unwrap().clone();
    let domain = all.into_iter().find(|candidate| candidate.host == host).unwrap().domain;
    (host, domain)
}

pub fn new_selector(me: &Name, domain: &str) -> SourceSelector {
    let mut selector = SourceSelector::new(START, me.clone(), domain.into(), false);
    selector.handle(START, Event::Candidates(candidates()));
    selector
}

/// Returns the selector of the host that comes last in the order of the first domain.
pub fn last_in_order() -> SourceSelector {
    new_selector(order().last().unwrap(), "z1")
}

/// Returns the same selector after it has subscribed to the first host.
pub fn subscribed() -> SourceSelector {
    let mut selector = last_in_order();
    let first = order()[0].clone();
    assert!(selector.handle(START, Event::Tick).contains(&Action::Subscribe(first.clone())));
    let actions = selector.handle(START, synced(&first, Some(0)));
    assert_eq!(actions, [switch(Source::Host(first), Reason::Order)]);
    selector
}

pub fn switch(to: Source, reason: Reason) -> Action {
    Action::Switch { to, reason }
}

pub fn synced(from: &Name, age_ms: Option<u64>) -> Event {
    Event::Synced { from: from.clone(), age_ms }
}

pub fn status(from: &Name, age_ms: Option<u64>) -> Event {
    Event::Status { from: from.clone(), age_ms, is_leaving: false }
}

pub fn leaving(from: &Name) -> Event {
    Event::Status { from: from.clone(), age_ms: Some(0), is_leaving: true }
}

pub const START: Tick = Tick(1_000_000);
