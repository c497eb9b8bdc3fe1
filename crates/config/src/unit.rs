//! Durations (`"500ms"`, `"2s"`, `"10m"`, `"1h"`) and sizes (`"64KB"`, `"14GiB"`) as text.
//!
//! A number without a unit is rejected, because its unit would be ambiguous.

use serde::{Deserialize, Deserializer, Serialize, Serializer};
use std::{fmt, str::FromStr, time::Duration};

/// A duration in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Millis(pub u64);

/// A size in bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Size(pub u64);

/// An error from parsing a duration or size.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The number is missing, not an integer or too large.
    #[error("`{0}`: expected a whole number followed by a unit")]
    Number(String),
    /// The unit is unknown.
    #[error("`{text}`: unknown unit; use one of {known}")]
    Unit {
        /// The parsed text.
        text: String,
        /// List of the known units.
        known: &'static str,
    },
}

const TIME_UNITS: &[(&str, u64)] = &[("ms", 1), ("s", 1_000), ("m", 60_000), ("h", 3_600_000)];
const SIZE_UNITS: &[(&str, u64)] = &[
    ("B", 1),
    ("KB", 1_000),
    ("MB", 1_000_000),
    ("GB", 1_000_000_000),
    ("KiB", 1 << 10),
    ("MiB", 1 << 20),
    ("GiB", 1 << 30),
];

fn parse(text: &str, units: &[(&str, u64)], known: &'static str) -> Result<u64, Error> {
    let text = text.trim();
    let end = text.find(|c: char| !c.is_ascii_digit()).unwrap_or(text.len());
    let (digits, unit) = text.split_at(end);
    let number: u64 = digits.parse().map_err(|_| Error::Number(text.to_owned()))?;
    let factor = units
        .iter()
        .find(|(name, _)| *name == unit.trim())
        .map(|(_, factor)| *factor)
        .ok_or_else(|| Error::Unit { text: text.to_owned(), known })?;
    number.checked_mul(factor).ok_or_else(|| Error::Number(text.to_owned()))
}

fn format(value: u64, units: &[(&str, u64)]) -> String {
    let divides = |factor: u64| value.is_multiple_of(factor) && value >= factor;
    let largest = units.iter().filter(|(_, f)| divides(*f)).max_by_key(|(_, f)| *f);
    let (unit, factor) = largest.unwrap_or(&units[0]);
    format!("{}{unit}", value / factor)
}

impl Millis {
    /// Converts to the standard library's type.
    pub fn duration(self) -> Duration {
        Duration::from_millis(self.0)
    }
}

impl FromStr for Millis {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        parse(text, TIME_UNITS, "ms, s, m, h").map(Millis)
    }
}

impl FromStr for Size {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        parse(text, SIZE_UNITS, "B, KB, MB, GB, KiB, MiB, GiB").map(Size)
    }
}

impl fmt::Display for Millis {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&format(self.0, TIME_UNITS))
    }
}

impl fmt::Display for Size {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&format(self.0, SIZE_UNITS))
    }
}

macro_rules! impl_serde_as_text {
    ($type:ty) => {
        impl Serialize for $type {
            fn serialize<S: Serializer>(&self, s: S) -> Result<S::Ok, S::Error> {
                s.collect_str(self)
            }
        }

        impl<'de> Deserialize<'de> for $type {
            fn deserialize<D: Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
                let text = String::deserialize(d)?;
                text.parse().map_err(serde::de::Error::custom)
            }
        }
    };
}

impl_serde_as_text!(Millis);
impl_serde_as_text!(Size);
