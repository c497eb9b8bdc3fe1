//! Which hosts are aggregators.

use rstest::rstest;
use vanetally_fanout::{Candidate, MAX_DIRECT_READERS, aggregators};

fn candidates(domains: &[(&str, usize, u32)]) -> Vec<Candidate> {
    let rows = domains.iter().flat_map(|(domain, count, capacity)| {
        (0..*count).map(move |number| Candidate {
            host: format!("{domain}-{capacity}-{number}").into(),
            domain: (*domain).into(),
            capacity: *capacity,
        })
    });
    rows.collect()
}

#[test]
fn few_hosts_all_aggregators() {
    let hosts = candidates(&[("a", MAX_DIRECT_READERS / 2, 12), ("b", MAX_DIRECT_READERS / 2, 50)]);
    assert_eq!(aggregators(&hosts).len(), MAX_DIRECT_READERS);
}

#[rstest]
#[case(&[("a", 23, 12), ("b", 18, 12), ("c", 24, 12)], 3)]
#[case(&[("a", 300, 12), ("b", 1, 12)], 2)]
fn one_per_domain(#[case] domains: &[(&str, usize, u32)], #[case] expected: usize) {
    assert_eq!(aggregators(&candidates(domains)).len(), expected);
}

#[test]
fn strongest_first() {
    let hosts = candidates(&[("a", 20, 12), ("a", 2, 50)]);
    assert!(aggregators(&hosts)[0].starts_with("a-50-"));
}

#[test]
fn order_irrelevant() {
    let mut hosts = candidates(&[("a", 20, 12), ("b", 20, 12)]);
    let first: Vec<String> = aggregators(&hosts).iter().map(ToString::to_string).collect();
    hosts.reverse();
    let again: Vec<String> = aggregators(&hosts).iter().map(ToString::to_string).collect();
    assert_eq!(first, again);
}
