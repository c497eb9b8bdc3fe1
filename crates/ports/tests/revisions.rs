//! Order of revisions across eras, and fencing tokens made of them.

use proptest::prelude::*;
use rstest::rstest;
use vanetally_ports::{
    Era, FencingToken, Revision, TokenError,
    token::{ERA_BITS, NUMBER_BITS},
};

const MAX_NUMBER: u64 = (1 << NUMBER_BITS) - 1;
const MAX_ERA: u64 = (1 << ERA_BITS) - 1;

fn token(era: u64, number: u64) -> Result<u64, TokenError> {
    FencingToken::try_from(Revision::new(Era(era), number)).map(|token| token.0)
}

/// Without an era the token equals the number, as in earlier builds.
#[rstest]
#[case(0, 0, 0)]
#[case(0, MAX_NUMBER, MAX_NUMBER)]
#[case(1, 0, MAX_NUMBER + 1)]
#[case(2, 41, (2 << NUMBER_BITS) + 41)]
#[case(MAX_ERA, MAX_NUMBER, (1 << 53) - 1)]
fn packs_era_and_number(#[case] era: u64, #[case] number: u64, #[case] expected: u64) {
    assert_eq!(token(era, number), Ok(expected));
    assert_eq!(expected as f64 as u64, expected, "exact for JSON parsers that read floats");
}

#[test]
fn rejects_too_large() {
    assert_eq!(token(0, MAX_NUMBER + 1), Err(TokenError::Number(MAX_NUMBER + 1)));
    assert_eq!(token(MAX_ERA + 1, 0), Err(TokenError::Era(Era(MAX_ERA + 1))));
    assert_eq!(token(u64::MAX, u64::MAX), Err(TokenError::Era(Era(u64::MAX))));
}

#[rstest]
#[case(1, 2, true)]
#[case(0, 1, true)]
#[case(1, 3, false)]
#[case(2, 1, false)]
#[case(u64::MAX, 0, false)]
fn era_follows(#[case] era: u64, #[case] next: u64, #[case] expected: bool) {
    assert_eq!(Era(next).follows(Era(era)), expected);
}

proptest! {
    /// A later revision makes a higher token, within an era and across eras.
    #[test]
    fn tokens_ordered_as_revisions(one in (0..=MAX_ERA, 0..=MAX_NUMBER), other in (0..=MAX_ERA, 0..=MAX_NUMBER)) {
        let revision = |(era, number)| Revision::new(Era(era), number);
        let token = |(era, number)| token(era, number).unwrap();
        prop_assert_eq!(revision(one).cmp(&revision(other)), token(one).cmp(&token(other)));
    }
}
