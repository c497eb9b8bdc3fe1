//! One life of an upstream.

use crate::Name;
use serde::{Deserialize, Deserializer, Serialize, Serializer, de};
use std::fmt;

/// One life of an upstream: its id and the moment of its start.
///
/// An upstream may start again under the id that it had. It then holds nothing and knows nothing of before, so
/// all that is believed of one is kept under both. Which of two lives is the later one does not follow from
/// `born`, a clock's reading, but from the order in which they were told.
///
/// On links it is written as text, `ID@BORN`, or `ID` alone if the start is not known. A host of a version
/// without starts reads the former as an id that it does not know, and passes over it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Incarnation {
    /// The id, which several lives may share.
    pub id: Name,
    /// Unix milliseconds of the start, by the upstream's clock; none where it does not say.
    pub born: Option<u64>,
}

/// Parts the id from the start.
const MARK: char = '@';
/// Stands for a start that is not known, after an id that holds a mark itself.
const UNKNOWN: &str = "-";

impl Incarnation {
    /// The life of `id` that began at `born`.
    pub fn new(id: impl Into<Name>, born: Option<u64>) -> Self {
        Self { id: id.into(), born }
    }

    /// Reads the text form.
    fn from_text(text: &str) -> Self {
        match text.rsplit_once(MARK) {
            Some((id, UNKNOWN)) => Self::new(id, None),
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
            Some(born) => write!(f, "{}{MARK}{born}", self.id),
            None if self.id.contains(MARK) => write!(f, "{}{MARK}{UNKNOWN}", self.id),
            None => f.write_str(&self.id),
        }
    }
}

impl From<&str> for Incarnation {
    /// A life of which the start is not known.
    fn from(id: &str) -> Self {
        Self::new(id, None)
    }
}

impl From<Name> for Incarnation {
    /// A life of which the start is not known.
    fn from(id: Name) -> Self {
        Self::new(id, None)
    }
}

impl From<String> for Incarnation {
    /// A life of which the start is not known.
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
        struct Text;
        impl de::Visitor<'_> for Text {
            type Value = Incarnation;

            fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str("ID@BORN or ID")
            }

            fn visit_str<E: de::Error>(self, text: &str) -> Result<Incarnation, E> {
                Ok(Incarnation::from_text(text))
            }
        }
        deserializer.deserialize_str(Text)
    }
}
