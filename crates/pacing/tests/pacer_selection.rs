//! Selection of the host that paces an engine.

use vanetally_pacing::Pacers;
use vanetally_types::{Name, Tick};

fn pacers(me: &str, others: &[&str]) -> Pacers {
    let mut pacers = Pacers::new(me.into());
    let hosts = others.iter().chain([&me]).map(|host| (Name::from(*host), 12));
    pacers.set_hosts(hosts.collect());
    pacers
}

#[test]
fn single_host() {
    assert_eq!(&**pacers("h1", &[]).pacer_of(Tick(0), &"i-1".into()), "h1");
}

#[test]
fn hosts_agree() {
    let mut first = pacers("h1", &["h2", "h3"]);
    let mut third = pacers("h3", &["h2", "h1"]);
    for number in 0..50 {
        let upstream = Name::from(format!("i-{number}"));
        assert_eq!(first.pacer_of(Tick(0), &upstream), third.pacer_of(Tick(0), &upstream));
    }
}

#[test]
fn silent_pacer_skipped() {
    let mut first = pacers("h1", &["h2", "h3"]);
    let upstream = Name::from("i-1");
    let pacer = first.pacer_of(Tick(0), &upstream).clone();
    let mut other = if &*pacer == "h1" { pacers("h2", &["h1", "h3"]) } else { first };
    other.mark_silent(Tick(0), &pacer);
    assert_ne!(*other.pacer_of(Tick(500), &upstream), pacer);
    assert_eq!(*other.pacer_of(Tick(2_000), &upstream), pacer);
}

/// If a few hosts are much stronger than all others, only these are pacers.
#[test]
fn strong_hosts_pace() {
    let hosts = |strong: usize| {
        let one = |number: usize| {
            let capacity = if number < strong { 50 } else { 12 };
            (Name::from(format!("h{number:03}")), capacity)
        };
        (0..295).map(one).collect::<Vec<_>>()
    };
    let pacers_with = |strong: usize| {
        let mut pacers = Pacers::new("h294".into());
        pacers.set_hosts(hosts(strong));
        let engines = (0..240).map(|number| Name::from(format!("i-{number}")));
        let chosen = engines.map(|engine| pacers.pacer_of(Tick(0), &engine).clone());
        chosen.collect::<std::collections::BTreeSet<Name>>()
    };
    let chosen = pacers_with(15);
    assert!(chosen.iter().all(|host| &**host < "h015"), "{chosen:?}");
    assert_eq!(chosen.len(), 15, "each strong host is a pacer");
    assert!(pacers_with(2).len() > 100, "two strong hosts do not suffice");
}
