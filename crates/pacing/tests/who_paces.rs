//! Which host paces an engine.

use vanetally_pacing::Pacers;
use vanetally_types::{Name, Tick};

fn pacers(me: &str, others: &[&str]) -> Pacers {
    let mut pacers = Pacers::new(me.into());
    let hosts = others.iter().chain([&me]).map(|host| (Name::from(*host), 12));
    pacers.set_hosts(hosts.collect());
    pacers
}

#[test]
fn alone_paces_all() {
    assert_eq!(&**pacers("h1", &[]).pacer_of(Tick(0), &"i-1".into()), "h1");
}

#[test]
fn all_agree() {
    let mut first = pacers("h1", &["h2", "h3"]);
    let mut third = pacers("h3", &["h2", "h1"]);
    for number in 0..50 {
        let upstream = Name::from(format!("i-{number}"));
        assert_eq!(first.pacer_of(Tick(0), &upstream), third.pacer_of(Tick(0), &upstream));
    }
}

#[test]
fn silent_one_passed_over() {
    let mut first = pacers("h1", &["h2", "h3"]);
    let upstream = Name::from("i-1");
    let pacer = first.pacer_of(Tick(0), &upstream).clone();
    let mut other = if &*pacer == "h1" { pacers("h2", &["h1", "h3"]) } else { first };
    other.mark_silent(Tick(0), &pacer);
    assert_ne!(*other.pacer_of(Tick(500), &upstream), pacer);
    assert_eq!(*other.pacer_of(Tick(2_000), &upstream), pacer);
}

/// Where a few hosts are much stronger than all others, every host asks one of them.
#[test]
fn strong_pace() {
    let hosts = |strong: usize| {
        let one = |number: usize| {
            let capacity = if number < strong { 50 } else { 12 };
            (Name::from(format!("h{number:03}")), capacity)
        };
        (0..295).map(one).collect::<Vec<_>>()
    };
    let paced_by = |strong: usize| {
        let mut pacers = Pacers::new("h294".into());
        pacers.set_hosts(hosts(strong));
        let engines = (0..240).map(|number| Name::from(format!("i-{number}")));
        let by = engines.map(|engine| pacers.pacer_of(Tick(0), &engine).clone());
        by.collect::<std::collections::BTreeSet<Name>>()
    };
    let by = paced_by(15);
    assert!(by.iter().all(|host| &**host < "h015"), "{by:?}");
    assert_eq!(by.len(), 15, "each of them paces some");
    assert!(paced_by(2).len() > 100, "two would have to answer all");
}
