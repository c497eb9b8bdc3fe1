//! The order of revisions over eras, and tokens made of them.

use proptest::prelude::*;
use rstest::rstest;
use vanetally_ports::{
    Era, FencingToken, Revision, TokenError,
    token::{ERA_BITS, NUMBER_BITS},
};

const LAST_NUMBER: u64 = (1 << NUMBER_BITS) - 1;
const LAST_ERA: u64 = (1 << ERA_BITS) - 1;

fn token(era: u64, number: u64) -> Result<u64, TokenError> {
    FencingToken::try_from(Revision::new(Era(era), number)).map(|token| token.0)
}

/// What a store without eras gives is what earlier builds gave.
#[rstest]
#[case(0, 0, 0)]
#[case(0, LAST_NUMBER, LAST_NUMBER)]
#[case(1, 0, LAST_NUMBER + 1)]
#[case(2, 41, (2 << NUMBER_BITS) + 41)]
#[case(LAST_ERA, LAST_NUMBER, (1 << 53) - 1)]
fn packed(#[case] era: u64, #[case] number: u64, #[case] expected: u64) {
    assert_eq!(token(era, number), Ok(expected));
    assert_eq!(expected as f64 as u64, expected, "readers of JSON that know only floats");
}

#[test]
fn too_large() {
    assert_eq!(token(0, LAST_NUMBER + 1), Err(TokenError::Number(LAST_NUMBER + 1)));
    assert_eq!(token(LAST_ERA + 1, 0), Err(TokenError::Era(Era(LAST_ERA + 1))));
    assert_eq!(token(u64::MAX, u64::MAX), Err(TokenError::Era(Era(u64::MAX))));
}

#[rstest]
#[case(1, 2, true)]
#[case(0, 1, true)]
#[case(1, 3, false)]
#[case(2, 1, false)]
#[case(u64::MAX, 0, false)]
fn follows(#[case] era: u64, #[case] next: u64, #[case] expected: bool) {
    assert_eq!(Era(next).follows(Era(era)), expected);
}

proptest! {
    /// A later revision makes a higher token, whatever the era's numbers.
    #[test]
    fn tokens_rise(one in (0..=LAST_ERA, 0..=LAST_NUMBER), other in (0..=LAST_ERA, 0..=LAST_NUMBER)) {
        let revision = |(era, number)| Revision::new(Era(era), number);
        let token = |(era, number)| token(era, number).unwrap();
        prop_assert_eq!(revision(one).cmp(&revision(other)), token(one).cmp(&token(other)));
    }
}
