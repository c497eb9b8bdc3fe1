//! Entries of other writers that can't be read: counted each time, and logged at a bounded rate.

use crate::{clock::Clock, log_limit::LogLimit, telemetry};
use std::fmt;

/// Characters of a key in a log line.
const MAX_KEY_CHARS: usize = 64;

/// Counts the entries that can't be read, and limits the log lines about them.
pub(crate) struct OddEntries {
    lines: LogLimit,
}

impl OddEntries {
    pub(crate) fn new(clock: Clock) -> Self {
        Self { lines: LogLimit::new(clock) }
    }

    /// Counts an entry of `prefix` that is left out for `reason`. Returns the number of those before it that were not
    /// logged, if this one may be.
    pub(crate) fn record(&self, prefix: &'static str, reason: &'static str) -> Option<u64> {
        telemetry::entry_unreadable(prefix, reason);
        self.lines.admit(prefix)
    }
}

/// A name of another writer in a log line: short, and without blanks or control characters.
pub(crate) struct Escaped<'a>(pub &'a str);

impl fmt::Display for Escaped<'_> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for character in self.0.chars().take(MAX_KEY_CHARS) {
            match character {
                '"' | '\\' => write!(formatter, "\\{character}")?,
                _ if character.is_ascii_graphic() => write!(formatter, "{character}")?,
                _ => write!(formatter, "{}", character.escape_unicode())?,
            }
        }
        if self.0.chars().nth(MAX_KEY_CHARS).is_some() {
            formatter.write_str("...")
        } else {
            Ok(())
        }
    }
}
