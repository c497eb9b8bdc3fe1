//! Identity of one incarnation of an upstream.

use crate::Name;
use serde::{Deserialize, Deserializer, Serialize, Serializer, de};
use std::fmt;

/// One incarnation of an upstream: its id and its start time.
///
/// An upstream may restart under the same id. It then has lost all earlier state, so everything known about an
/// upstream is stored per id and start time. `born` is a clock reading and does not order two incarnations;
/// the order in which they were announced does.
///
/// On links it is serialized as text: `ID@BORN`, or `ID` alone if the start time is unknown. A host whose version
/// does not support start times reads `ID@BORN` as an unknown id and ignores it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Incarnation {
    /// Id of the upstream, shared by all its incarnations.
    pub id: Name,
    /// Start time in Unix milliseconds by the upstream's clock; `None` if it was not announced.
    pub born: Option<u64>,
}

/// Separates the id from the start time.
const SEPARATOR: char = '@';
/// Written in place of an unknown start time if the id itself contains a separator.
const UNKNOWN_START: &str = "-";

impl Incarnation {
    /// Creates the incarnation of `id` that started at `born`.
    pub fn new(id: impl Into<Name>, born: Option<u64>) -> Self {
        Self { id: id.into(), born }
    }

    /// Parses the text form; text without a valid start time is an id.
    fn from_text(text: &str) -> Self {
        match text.rsplit_once(SEPARATOR) {
            Some((id, UNKNOWN_START)) => Self::new(id, None),
            Some((id, born)) => match born.parse() {
                Ok(born) => Self::new(id, Some(born)),
                Err(_) => Self::new(text, None),
            },
            None => Self::new(text, None),
        }
    }
}

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.born {
            Some(born) => write!(f, "{}{SEPARATOR}{born}", self.id),
            None if self.id.contains(SEPARATOR) => {
                write!(f, "{}{SEPARATOR}{UNKNOWN_START}", self.id)
            }
            None => f.write_str(&self.id),
        }
    }
}

impl From<&str> for Incarnation {
    /// Creates an incarnation whose start time is unknown.
    fn from(id: &str) -> Self {
        Self::new(id, None)
    }
}

impl From<Name> for Incarnation {
    /// Creates an incarnation whose start time is unknown.
    fn from(id: Name) -> Self {
        Self::new(id, None)
    }
}

impl From<String> for Incarnation {
    /// Creates an incarnation whose start time is unknown.
    fn from(id: String) -> Self {
        Self::new(id, None)
    }
}

impl Serialize for Incarnation {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for Incarnation {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        struct TextVisitor;
        impl de::Visitor<'_> for TextVisitor {
            type Value = Incarnation;

            fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str("ID@BORN or ID")
            }

            fn visit_str<E: de::Error>(self, text: &str) -> Result<Incarnation, E> {
                Ok(Incarnation::from_text(text))
            }
        }
        deserializer.deserialize_str(TextVisitor)
    }
}
