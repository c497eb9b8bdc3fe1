//! Which host paces an engine.

use vanetally_pacing::Pacers;
use vanetally_types::{Name, Tick};

fn pacers(me: &str, others: &[&str]) -> Pacers {
    let mut pacers = Pacers::new(me.into());
    pacers.set_others(others.iter().map(|host| Name::from(*host)).collect());
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
    other.note_silent(Tick(0), &pacer);
    assert_ne!(*other.pacer_of(Tick(500), &upstream), pacer);
    assert_eq!(*other.pacer_of(Tick(2_000), &upstream), pacer);
}
