//! Finding the beginning of a stream: the hosts that keep it, and what their answers say.

use rstest::rstest;
use std::collections::BTreeSet;
use vanetally_ports::Software;
use vanetally_streams::{
    Answer, Finding, FoundBy, KnownVersions, Lookup, StreamKey, Unknown, Versions, keepers,
};
use vanetally_types::Name;

fn one(version: &str) -> Versions {
    Versions::One(version.into())
}

fn found(by: FoundBy) -> Finding {
    (Software { service: "llm".into(), version: "v1".into() }, by)
}

/// A question to `asked` hosts of one that knows these versions.
fn lookup(asked: usize, versions: Option<Versions>) -> Lookup {
    Lookup::new(asked, Some("llm".into()), versions)
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
    let mut lookup = lookup(3, Some(Versions::Several));
    assert_eq!(lookup.answered(Answer::Unknown(None)), None);
    let began = lookup.answered(Answer::Began("llm".into(), "v1".into()));
    assert_eq!(began, Some(found(FoundBy::Host)));
    assert!(!lookup.is_open());
}

/// Once all have answered, a stream of one of several versions is lost; before that it may be found later.
#[test]
fn nobody_keeps_it() {
    let mut lookup = lookup(2, Some(Versions::Several));
    lookup.answered(Answer::Unknown(None));
    assert_eq!(lookup.clone().unanswered(), Err(Unknown::NotYet));
    lookup.answered(Answer::Unknown(Some(one("v1"))));
    assert!(!lookup.is_open());
    assert_eq!(lookup.unanswered(), Err(Unknown::Lost));
}

#[test]
fn only_version() {
    let mut lookup = lookup(2, Some(one("v1")));
    lookup.answered(Answer::Unknown(Some(one("v1"))));
    assert_eq!(lookup.unanswered(), Ok(found(FoundBy::OnlyVersion)));
    let alone = self::lookup(0, Some(one("v1")));
    assert_eq!(alone.unanswered(), Ok(found(FoundBy::OnlyVersion)));
}

/// Hosts that have just started, this one or others, neither speak against the only version nor confirm it.
#[test]
fn host_just_started() {
    let mut lookup = lookup(2, None);
    lookup.answered(Answer::Unknown(None));
    assert_eq!(lookup.clone().unanswered(), Err(Unknown::NotYet));
    lookup.answered(Answer::Unknown(Some(one("v1"))));
    assert_eq!(lookup.unanswered(), Ok(found(FoundBy::OnlyVersion)));
    let mut unconfirmed = self::lookup(1, Some(one("v1")));
    unconfirmed.answered(Answer::Unknown(None));
    assert_eq!(unconfirmed.unanswered(), Err(Unknown::NotYet));
}

/// A host that has not heard of another version yet does not decide against those that have.
#[rstest]
#[case(Versions::Several)]
#[case(one("v1.2"))]
fn another_version_elsewhere(#[case] other: Versions) {
    let mut lookup = lookup(2, Some(one("v1")));
    lookup.answered(Answer::Unknown(Some(one("v1"))));
    lookup.answered(Answer::Unknown(Some(other)));
    assert_eq!(lookup.unanswered(), Err(Unknown::Lost));
}

/// A host that is cut off from all others can't know that there was no other version.
#[test]
fn no_answer() {
    assert_eq!(lookup(3, Some(one("v1"))).unanswered(), Err(Unknown::NotYet));
}

/// Of a route that leads to several services it is unknown which one began the stream.
#[test]
fn several_services() {
    let mut lookup = Lookup::new(1, None, None);
    lookup.answered(Answer::Unknown(None));
    assert_eq!(lookup.unanswered(), Err(Unknown::Lost));
}

#[test]
fn only_once_stored() {
    let (mut known, service) = (KnownVersions::default(), Name::from("llm"));
    assert!(known.add(&service, one("v1")));
    assert_eq!(known.known(&service), None);
    known.set_stored(&service, Some(one("v1")));
    assert_eq!(known.known(&service), Some(&one("v1")));
    assert_eq!(known.unsaved(&service), None);
    assert!(!known.add(&service, one("v1")));
    known.set_stored(&service, None);
    assert_eq!(known.known(&service), None);
}

/// Several versions are never taken for one again, as by a store that returns from a backup.
#[test]
fn several_stay() {
    let (mut known, service) = (KnownVersions::default(), Name::from("llm"));
    known.add(&service, one("v1"));
    known.set_stored(&service, Some(one("v1")));
    assert!(known.add(&service, one("v1.2")));
    let several = Some(&Versions::Several);
    assert_eq!((known.known(&service), known.unsaved(&service)), (several, several));
    known.set_stored(&service, Some(Versions::Several));
    known.clear_stored();
    known.set_stored(&service, Some(one("v1")));
    assert_eq!((known.known(&service), known.unsaved(&service)), (several, several));
}
