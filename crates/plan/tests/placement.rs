//! Tests that every entry is placed, memory is not overcommitted and moves pay for themselves.

use proptest::{prelude::*, test_runner::RngSeed};
use std::collections::BTreeSet;
use vanetally_plan::{Demand, Entry, Input, Options, Placement, PlacementBuilder, Runner};
use vanetally_types::{Name, Tick};

const OPTIONS: Options =
    Options { move_price: 5.0, horizon_s: 60.0, target_utilization: 0.7, max_loads: 10 };

fn entry(n: usize, size: u64, load: f64, runners: usize) -> Entry {
    Entry {
        id: format!("m{n}").into(),
        base: None,
        size,
        load,
        rate: load,
        allowed: (0..runners).collect(),
    }
}

fn runner(n: usize, held: &[&str]) -> Runner {
    Runner {
        name: format!("r{n}").into(),
        domain: format!("d{}", n % 3).into(),
        capacity: 100,
        slots: 10.0,
        usable: true,
        entries: held.iter().map(|e| Name::from(*e)).collect(),
        reserved: 0,
    }
}

fn place(input: &Input) -> Placement {
    PlacementBuilder::from_input(input, OPTIONS).build()
}

fn replicas(placement: &Placement, entry: &str) -> usize {
    placement.values().filter(|held| held.contains(entry)).count()
}

#[test]
fn replicas_spread_over_domains() {
    let entries = vec![entry(0, 30, 30.0, 6)];
    let input = Input { entries, runners: (0..6).map(|n| runner(n, &[])).collect() };
    let placement = place(&input);
    let used_domains: BTreeSet<&Name> = input
        .runners
        .iter()
        .filter(|r| placement[&r.name].contains("m0"))
        .map(|r| &r.domain)
        .collect();
    assert_eq!(used_domains.len(), 3, "{placement:?}");
}

#[test]
fn resident_entries_stay() {
    // Nothing is overloaded or worth a second replica: resident entries stay, even if unbalanced.
    let entries = vec![entry(0, 30, 0.1, 2), entry(1, 30, 0.1, 2)];
    let runners = vec![runner(0, &["m0", "m1"]), runner(1, &["m0"])];
    let placement = place(&Input { entries, runners });
    assert_eq!((replicas(&placement, "m0"), replicas(&placement, "m1")), (2, 1));
}

#[test]
fn second_replica_in_other_domain() {
    // A requested entry gets a second replica in another domain if memory is free.
    let entries = vec![entry(0, 30, 1.0, 4), entry(1, 80, 1.0, 4)];
    let runners = vec![runner(0, &["m0"]), runner(3, &[]), runner(1, &["m1"]), runner(2, &[])];
    let placement = place(&Input { entries, runners });
    assert_eq!(replicas(&placement, "m0"), 2);
    assert!(!placement["r3"].contains("m0"), "r3 is in the domain of r0");
    assert_eq!(replicas(&placement, "m1"), 2);
    assert_eq!(placement["r1"].len() + placement["r2"].len() + placement["r3"].len(), 3);
}

#[test]
fn moves_must_pay() {
    let place_at = |move_price| {
        let entries = vec![entry(0, 30, 9.0, 2)];
        let input = Input { entries, runners: vec![runner(0, &["m0"]), runner(1, &[])] };
        PlacementBuilder::from_input(&input, Options { move_price, ..OPTIONS }).build()
    };
    assert_eq!(replicas(&place_at(1.0), "m0"), 2, "a cheap move pays");
    assert_eq!(replicas(&place_at(10_000.0), "m0"), 1, "an expensive one does not");
}

#[test]
fn last_replica_kept() {
    // The new entry fits only where another entry has its only replica.
    let entries = vec![entry(0, 80, 0.1, 1), entry(1, 80, 9.0, 1)];
    let placement = place(&Input { entries, runners: vec![runner(0, &["m0"])] });
    assert_eq!((replicas(&placement, "m0"), replicas(&placement, "m1")), (1, 0));
}

#[test]
fn adapter_placed_with_base() {
    let mut adapter = entry(1, 5, 1.0, 2);
    adapter.base = Some("m0".into());
    let runners = vec![runner(0, &[]), runner(1, &[])];
    let placement = place(&Input { entries: vec![entry(0, 50, 1.0, 2), adapter], runners });
    let held = placement.values().find(|held| held.contains("m1")).expect("placed");
    assert!(held.contains("m0"));
}

#[test]
fn rising_demand_detected() {
    // Demand rises tenfold: after three seconds the estimate includes a large part of the rise.
    let mut demand = Demand::default();
    let target: Name = "m".into();
    let mut at = 0;
    let mut run = |demand: &mut Demand, seconds: u64, count: u32| {
        for _ in 0..seconds * 10 {
            at += 100;
            demand.advance(Tick(at));
            demand.add(&target, count, f64::from(count) * 1_000.0);
        }
    };
    run(&mut demand, 300, 1);
    let before = demand.estimate("m").slots;
    run(&mut demand, 3, 10);
    let after = demand.estimate("m").slots;
    assert!((before - 10.0).abs() < 1.0, "{before}");
    assert!(after > 2.5 * before, "{after} after {before}");
}

/// Uses a fixed seed, so that the result is reproducible.
fn fixed_seed() -> ProptestConfig {
    let rng_seed = RngSeed::Fixed(1);
    ProptestConfig { rng_seed, failure_persistence: None, ..ProptestConfig::default() }
}

proptest! {
    #![proptest_config(fixed_seed())]

    #[test]
    fn memory_fits(
        sizes in prop::collection::vec((5..60_u64, 0.0..40.0_f64), 1..12),
        held in prop::collection::vec(prop::collection::vec(0..12_usize, 0..3), 1..6),
    ) {
        let count = held.len();
        let entries: Vec<Entry> =
            sizes.iter().enumerate().map(|(n, (size, load))| entry(n, *size, *load, count)).collect();
        let mut runners = Vec::new();
        for (n, resident) in held.iter().enumerate() {
            let mut runner = runner(n, &[]);
            let mut free = 100;
            for e in resident.iter().filter(|e| **e < entries.len()) {
                if entries[*e].size <= free && runner.entries.insert(entries[*e].id.clone()) {
                    free -= entries[*e].size;
                }
            }
            runners.push(runner);
        }
        let before: BTreeSet<Name> = runners.iter().flat_map(|r| r.entries.clone()).collect();
        let placement = place(&Input { entries: entries.clone(), runners });
        for held in placement.values() {
            let used: u64 = entries.iter().filter(|e| held.contains(&e.id)).map(|e| e.size).sum();
            prop_assert!(used <= 100, "{placement:?}");
        }
        for name in before {
            prop_assert!(replicas(&placement, &name) > 0, "{name} lost its last replica");
        }
    }
}
