//! Fencing tokens of orders.

use crate::{Era, Revision};
use std::fmt;

/// Number by which runners reject orders of an earlier holder of the order lease.
///
/// It is made of the revision at which the holder's key was written, and grows across eras: the lowest
/// [`NUMBER_BITS`] bits hold the number of the change, the bits above them the era. If the store reports no era, the
/// token equals the number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct FencingToken(pub u64);

/// Bits for the number of a change, enough for 29 years at 1,200 changes per second.
pub const NUMBER_BITS: u32 = 40;
/// Bits for the era.
pub const ERA_BITS: u32 = 13;
// JSON parsers that read numbers as 64-bit floats keep integers of up to this many bits exact.
const _: () = assert!(NUMBER_BITS + ERA_BITS == f64::MANTISSA_DIGITS);

/// Why a revision cannot be converted to a token.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum TokenError {
    /// The era is too large.
    #[error("era {0} has more than {ERA_BITS} bits")]
    Era(Era),
    /// The number of the change is too large.
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
