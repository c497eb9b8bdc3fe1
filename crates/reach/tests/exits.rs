//! Choice of the hosts through which blocked upstreams are reached.

use rstest::rstest;
use std::collections::BTreeMap;
use vanetally_reach::{ExitFailure, Exits};
use vanetally_types::{Name, Tick};

fn hosts(count: usize) -> Vec<Name> {
    (0..count).map(|number| format!("front-{number}").into()).collect()
}

fn exits_of(own: &str, hosts: &[Name]) -> Exits {
    let mut exits = Exits::new(own.into());
    exits.set_hosts(hosts.to_vec());
    exits
}

/// Asks hosts until one works, as for one tunnel; returns it and the number of hosts asked.
fn open(exits: &mut Exits, now: Tick, is_cut_off: impl Fn(&Name) -> bool) -> (Option<Name>, usize) {
    let mut tried = Vec::new();
    while let Some(host) = exits.choose(now, &tried) {
        tried.push(host.clone());
        if is_cut_off(&host) {
            exits.failed(now, &host, ExitFailure::CutOff);
        } else {
            exits.opened(now, &host);
            return (Some(host), tried.len());
        }
    }
    (None, tried.len())
}

#[test]
fn never_itself() {
    let all = hosts(2);
    let mut exits = exits_of("front-0", &all);
    assert_eq!(exits.choose(Tick(0), &[]), Some(all[1].clone()));
    assert_eq!(exits.choose(Tick(0), &all), None);
    assert!(exits_of("front-0", &all[..1]).is_empty());
}

/// The only host that reaches the upstreams is found, and then kept.
#[test]
fn only_one_works() {
    let all = hosts(6);
    let mut exits = exits_of("front-0", &all);
    let is_cut_off = |host: &Name| **host != *"front-5";
    assert_eq!(open(&mut exits, Tick(0), is_cut_off).0, Some(all[5].clone()));
    let mut asked = 0;
    for number in 1..=100 {
        let (host, tries) = open(&mut exits, Tick(number * 10), is_cut_off);
        assert_eq!(host, Some(all[5].clone()));
        exits.closed(&all[5]);
        asked += tries;
    }
    assert!(asked <= 110, "{asked} hosts asked for 100 tunnels");
}

/// A host that failed is tried again: its cut, or its doubt, may be over.
#[rstest]
#[case(ExitFailure::Silent, 1_000)]
#[case(ExitFailure::CutOff, 400)]
fn failed_host_tried_again(#[case] failure: ExitFailure, #[case] pause_ms: u64) {
    let all = hosts(2);
    let mut exits = exits_of("front-0", &all);
    exits.failed(Tick(0), &all[1], failure);
    assert_eq!(exits.choose(Tick(pause_ms - 100), &[]), None);
    assert_eq!(exits.choose(Tick(pause_ms), &[]), Some(all[1].clone()));
    let again = 10_000;
    exits.failed(Tick(again), &all[1], failure);
    assert_eq!(exits.choose(Tick(again + 900), &[]), None);
    assert_eq!(exits.choose(Tick(again + 1_000), &[]), Some(all[1].clone()));
}

/// The tunnels of the hosts of a failure domain that is cut off are spread over the other hosts.
#[rstest]
#[case(70, 23)]
#[case(370, 123)]
#[case(985, 197)]
fn load_spread(#[case] count: usize, #[case] cut_off: usize) {
    const TUNNELS: usize = 12;
    let all = hosts(count);
    let cut = &all[..cut_off];
    let mut load: BTreeMap<Name, usize> = BTreeMap::new();
    for host in cut {
        let mut exits = exits_of(host, &all);
        for number in 0..TUNNELS {
            let now = Tick(number as u64 * 10);
            let (exit, _) = open(&mut exits, now, |other| cut.contains(other));
            *load.entry(exit.expect("most hosts work")).or_default() += 1;
        }
        assert_eq!(exits.tunnels(), TUNNELS);
    }
    let mean = (cut_off * TUNNELS) as f64 / (count - cut_off) as f64;
    let max = load.values().copied().max().unwrap_or(0) as f64;
    assert!(
        max <= 6.0 * mean.max(TUNNELS as f64 / 3.0),
        "{max} tunnels through one host, {mean} on average"
    );
    assert!(load.len() * 2 >= (count - cut_off).min(cut_off * 3), "{} hosts used", load.len());
}

/// A cut often strikes the hosts of one failure domain alike, so others are asked as well.
#[test]
fn other_domain_preferred() {
    let all = hosts(6);
    let mut exits = exits_of("front-0", &all);
    exits.set_elsewhere([all[4].clone(), all[5].clone()].into());
    let first = exits.choose_elsewhere(Tick(0), &[]).expect("a host");
    assert!(exits.is_elsewhere(&first), "{first}");
    exits.failed(Tick(0), &all[4], ExitFailure::Silent);
    exits.failed(Tick(0), &all[5], ExitFailure::Silent);
    let other = exits.choose_elsewhere(Tick(0), &[]).expect("a host");
    assert!(!exits.is_elsewhere(&other), "{other}");
}
