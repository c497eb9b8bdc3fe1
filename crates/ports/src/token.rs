//! Fencing tokens of orders.

use crate::{Era, Revision};
use std::fmt;

/// What runners compare to tell a later holder of orders from an earlier one.
///
/// The revision at which the holder's key was written, as one number that rises over eras: the era above the lowest
/// [`NUMBER_BITS`] bits, the number of the change in them. Without an era it is the number itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct FencingToken(pub u64);

/// Bits of a change's number: 29 years at 1,200 changes a second.
pub const NUMBER_BITS: u32 = 40;
/// Bits of an era.
pub const ERA_BITS: u32 = 13;
// Whole numbers up to here survive any JSON reader.
const _: () = assert!(NUMBER_BITS + ERA_BITS == f64::MANTISSA_DIGITS);

/// Why a revision makes no token.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum TokenError {
    /// Too many eras.
    #[error("era {0} has more than {ERA_BITS} bits")]
    Era(Era),
    /// Too many changes.
    #[error("change {0} has more than {NUMBER_BITS} bits")]
    Number(u64),
}

impl TryFrom<Revision> for FencingToken {
    type Error = TokenError;

    fn try_from(revision: Revision) -> Result<Self, TokenError> {
        let Revision { era, number } = revision;
        if era.0 >> ERA_BITS != 0 {
            return Err(TokenError::Era(era));
        }
        if number >> NUMBER_BITS != 0 {
            return Err(TokenError::Number(number));
        }
        Ok(Self((era.0 << NUMBER_BITS) | number))
    }
}

impl fmt::Display for FencingToken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
