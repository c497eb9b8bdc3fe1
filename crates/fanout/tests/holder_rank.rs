//! The order in which hosts take a fleet-wide duty.

use vanetally_fanout::{Candidate, aggregators, holder_rank, root};
use vanetally_types::Name;

const KEY: &[u8] = b"orders";

/// 200 hosts in two domains, one in twenty of them strong.
fn candidates() -> Vec<Candidate> {
    let candidate = |number: usize| Candidate {
        host: format!("h{number}").into(),
        domain: format!("z{}", number % 2).into(),
        capacity: if number < 10 { 50 } else { 12 },
    };
    (0..200).map(candidate).collect()
}

/// Returns the hosts in order.
fn order(candidates: &[Candidate]) -> Vec<&Candidate> {
    let aggregators: Vec<Name> = aggregators(candidates).into_iter().cloned().collect();
    let mut hosts: Vec<&Candidate> = candidates.iter().collect();
    hosts.sort_by_key(|one| holder_rank(KEY, &one.host, candidates, &aggregators));
    hosts
}

#[test]
fn aggregators_then_strong_hosts() {
    let candidates = candidates();
    let order = order(&candidates);
    let first: Vec<&Name> = order[..2].iter().map(|one| &one.host).collect();
    assert!(aggregators(&candidates).iter().all(|host| first.contains(host)), "{first:?}");
    assert_eq!(Some(first[1]), root(&candidates), "the root comes last of them");
    assert!(order[..10].iter().all(|one| one.capacity == 50));
}

/// A host that is not listed comes after all others.
#[test]
fn unlisted_host() {
    assert_eq!(holder_rank(KEY, &"new".into(), &candidates(), &[]), 200);
    assert_eq!(holder_rank(KEY, &"new".into(), &[], &[]), 0);
}
