//! Targets of HTTP requests: a fixed path with names and values, each encoded for its place (RFC 3986).
#![deny(missing_docs, unsafe_code)]

use percent_encoding::{AsciiSet, NON_ALPHANUMERIC, utf8_percent_encode};
use std::fmt::{self, Display, Formatter, Write};

/// Bytes that are encoded in a segment of a path: all but unreserved ones.
const SEGMENT: &AsciiSet = &NON_ALPHANUMERIC.remove(b'-').remove(b'.').remove(b'_').remove(b'~');
/// Bytes that are encoded in a value of a query, where a slash has no meaning.
const QUERY_VALUE: &AsciiSet = &SEGMENT.remove(b'/');

/// A target in origin form: path and query.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    text: String,
    has_query: bool,
}

impl Target {
    /// Creates a target of a fixed path.
    pub fn new(path: &'static str) -> Self {
        Self { text: path.to_owned(), has_query: false }
    }

    /// Appends one segment to the path. Call it before [`Self::parameter`].
    pub fn segment(mut self, name: impl Display) -> Self {
        self.text.push('/');
        self.push(&name.to_string(), SEGMENT);
        self
    }

    /// Appends a key to the path, whose slashes separate segments. Call it before [`Self::parameter`].
    pub fn key(self, key: &str) -> Self {
        key.split('/').fold(self, Self::segment)
    }

    /// Appends a parameter to the query.
    pub fn parameter(mut self, name: &'static str, value: impl Display) -> Self {
        self.text.push(if self.has_query { '&' } else { '?' });
        self.has_query = true;
        self.text.push_str(name);
        self.text.push('=');
        self.push(&value.to_string(), QUERY_VALUE);
        self
    }

    /// Returns the target as it is sent.
    pub fn as_str(&self) -> &str {
        &self.text
    }

    fn push(&mut self, text: &str, encoded: &'static AsciiSet) {
        // Writing to a string does not fail.
        let _ = write!(self.text, "{}", utf8_percent_encode(text, encoded));
    }
}

impl Display for Target {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.text)
    }
}
