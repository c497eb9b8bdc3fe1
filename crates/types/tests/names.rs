//! Names that are kept once.

use std::sync::Arc;
use vanetally_types::{Name, Names};

#[test]
fn equal_names_shared() {
    let mut names = Names::default();
    let (mut first, mut second, mut other): (Name, Name, Name) =
        ("m1".into(), "m1".into(), "m2".into());
    for name in [&mut first, &mut second, &mut other] {
        names.share(name);
    }
    assert!(Arc::ptr_eq(&first, &second));
    assert_eq!((&*second, &*other), ("m1", "m2"));
}

#[test]
fn size_is_bounded() {
    let mut names = Names::default();
    for number in 0..40_000 {
        names.share(&mut format!("m{number}").as_str().into());
    }
    let mut first: Name = "m1".into();
    let own = first.clone();
    names.share(&mut first);
    assert!(Arc::ptr_eq(&first, &own), "early names are no longer kept");
}
