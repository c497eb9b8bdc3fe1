//! Finding the beginning of a stream: the hosts that keep it, and what their answers say.

use std::collections::BTreeSet;
use vanetally_ports::Software;
use vanetally_streams::{Answer, KnownVersions, Lookup, Source, StreamKey, Versions, keepers};
use vanetally_types::Name;

fn one(version: &str) -> Versions {
    Versions::One(version.into())
}

fn only() -> Option<Software> {
    Some(Software { service: "llm".into(), version: "v1".into() })
}

fn unknown(version: Option<&str>) -> Answer {
    Answer::Unknown(version.map(Name::from))
}

fn hosts(count: usize) -> Vec<(Name, Name)> {
    let host = |number| (format!("host-{number}").into(), format!("z{}", number % 3).into());
    (0..count).map(host).collect()
}

fn keepers_of(key: StreamKey, hosts: &[(Name, Name)], count: usize) -> Vec<Name> {
    let hosts = hosts.iter().map(|(host, domain)| (host, domain));
    keepers(key, hosts, count).into_iter().cloned().collect()
}

/// The loss of a failure domain must not lose a stream.
#[test]
fn keepers_in_all_domains() {
    let hosts = hosts(9);
    for number in 0..100 {
        let kept = keepers_of(StreamKey::of(&number.to_string()), &hosts, 3);
        let domains =
            hosts.iter().filter(|(host, _)| kept.contains(host)).map(|(_, domain)| domain);
        assert_eq!(domains.collect::<BTreeSet<_>>().len(), 3);
    }
}

/// A host that asks meets one that keeps the stream, although each leaves itself out and knows a host more or less.
#[test]
fn keepers_are_asked() {
    for count in [4, 9, 70, 370] {
        let all = hosts(count + 1);
        for number in 0..200_usize {
            let key = StreamKey::of(&number.to_string());
            let (first, second) = (number % count, (number * 7 + 1) % count);
            let mut known = all[..count].to_vec();
            known.remove(first);
            let kept = keepers_of(key, &known, 3);
            let mut known = all.clone();
            known.remove(second);
            let asked = keepers_of(key, &known, 6);
            let is_own = kept.contains(&all[second].0);
            assert!(is_own || kept.iter().any(|host| asked.contains(host)), "{count} {number}");
        }
    }
}

#[test]
fn one_host_keeps_it() {
    let mut lookup = Lookup::new(3, None);
    assert_eq!(lookup.answered(unknown(None)), None);
    let found = lookup.answered(Answer::Began("llm".into(), "v1".into()));
    assert_eq!(found, only().map(|software| (software, Source::Host)));
    assert!(!lookup.is_open());
}

#[test]
fn nobody_keeps_it() {
    let mut lookup = Lookup::new(2, None);
    lookup.answered(unknown(None));
    lookup.answered(unknown(Some("v1")));
    assert!(!lookup.is_open());
    assert_eq!(lookup.unanswered(), None);
}

#[test]
fn only_version() {
    let mut lookup = Lookup::new(2, only());
    lookup.answered(unknown(Some("v1")));
    let found = lookup.unanswered();
    assert_eq!(found, only().map(|software| (software, Source::OnlyVersion)));
    let alone = Lookup::new(0, only());
    assert!(alone.unanswered().is_some());
}

/// A host that has not heard of another version yet does not decide against those that have.
#[test]
fn another_version_elsewhere() {
    for other in [None, Some("v1.2")] {
        let mut lookup = Lookup::new(2, only());
        lookup.answered(unknown(Some("v1")));
        lookup.answered(unknown(other));
        assert_eq!(lookup.unanswered(), None);
    }
}

/// A host that is cut off from all others can't know that there was no other version.
#[test]
fn no_answer() {
    assert_eq!(Lookup::new(3, only()).unanswered(), None);
}

#[test]
fn only_once_stored() {
    let (mut known, service) = (KnownVersions::default(), Name::from("llm"));
    assert!(known.add(&service, one("v1")));
    assert_eq!(known.only(&service), None);
    known.set_stored(&service, Some(one("v1")));
    assert_eq!(known.only(&service).map(|name| &**name), Some("v1"));
    assert_eq!(known.unsaved(&service), None);
    assert!(!known.add(&service, one("v1")));
    known.set_stored(&service, None);
    assert_eq!(known.only(&service), None);
}

/// Several versions are never taken for one again, as by a store that returns from a backup.
#[test]
fn several_stay() {
    let (mut known, service) = (KnownVersions::default(), Name::from("llm"));
    known.add(&service, one("v1"));
    known.set_stored(&service, Some(one("v1")));
    assert!(known.add(&service, one("v1.2")));
    assert_eq!((known.only(&service), known.unsaved(&service)), (None, Some(&Versions::Several)));
    known.set_stored(&service, Some(Versions::Several));
    known.clear_stored();
    known.set_stored(&service, Some(one("v1")));
    assert_eq!((known.only(&service), known.unsaved(&service)), (None, Some(&Versions::Several)));
}
