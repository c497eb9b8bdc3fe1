//! Events of an engine's stream.

use vanetally_sse::Scanner;

/// Splits an engine's stream into complete events, counts them and detects its end mark.
#[derive(Debug, Default)]
pub(crate) struct EngineEvents {
    scanner: Scanner,
    /// Bytes of an incomplete event.
    pending: Vec<u8>,
    /// Number of complete events so far, without the end mark.
    pub count: u64,
    /// Whether the end mark has arrived.
    pub done: bool,
}

/// Beginning of the event that marks the end of a stream.
const END_MARK: &[u8] = b"data: [DONE]";
const COMMENT: u8 = b':';

impl EngineEvents {
    /// Adds received bytes and returns all complete events, with their separators.
    pub fn push(&mut self, bytes: &[u8]) -> Vec<u8> {
        let mut scanned = self.pending.len();
        self.pending.extend_from_slice(bytes);
        let mut end = 0;
        while let Some(length) = self.scanner.next_end(&self.pending[scanned..]) {
            scanned += length;
            self.count_event(end, scanned);
            end = scanned;
        }
        let rest = self.pending.split_off(end);
        std::mem::replace(&mut self.pending, rest)
    }

    fn count_event(&mut self, start: usize, end: usize) {
        let event = self.pending[start..end].trim_ascii();
        if event.starts_with(END_MARK) {
            self.done = true;
        } else if event.first().is_some_and(|first| *first != COMMENT) {
            self.count += 1;
        }
    }

    /// Discards an incomplete event.
    pub fn discard(&mut self) {
        self.pending.clear();
        self.scanner = Scanner::default();
    }

    /// Returns the memory that the incomplete event takes, in bytes.
    pub fn held_bytes(&self) -> usize {
        self.pending.capacity()
    }

    /// Returns the size of the incomplete event.
    pub fn pending_bytes(&self) -> usize {
        self.pending.len()
    }
}
