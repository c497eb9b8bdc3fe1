//! The ids that a connection has carried.

use vanetally_link::carried_ids::CarriedIds;

#[test]
fn none_forgotten() {
    let mut ids = CarriedIds::default();
    let mut count = 0;
    while !ids.is_full() {
        ids.record(&format!("r{count}"));
        count += 1;
    }
    assert!((1_000..100_000).contains(&count), "{count}");
    assert!((0..count).all(|number| ids.contains(&format!("r{number}"))));
}

/// Ids that were not recorded are rarely taken for one that was: each such mistake costs a connection.
#[test]
fn few_mistaken() {
    let mut ids = CarriedIds::default();
    (0..1_000).for_each(|number| ids.record(&format!("r{number}")));
    let mistaken = (0..100_000).filter(|number| ids.contains(&format!("q{number}"))).count();
    assert!(mistaken <= 2, "{mistaken}");
}
