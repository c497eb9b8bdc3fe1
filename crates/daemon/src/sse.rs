//! Splitting of server-sent event streams into complete events.

/// Splits a stream into complete events and detects its end mark.
#[derive(Debug, Default)]
pub(crate) struct EventSplitter {
    /// Bytes of an incomplete event.
    pending: Vec<u8>,
    /// Number of complete events so far, without the end mark.
    pub count: u64,
    /// Whether the end mark has arrived.
    pub done: bool,
}

/// Beginning of the event that marks the end of a stream.
const END_MARK: &[u8] = b"data: [DONE]";

impl EventSplitter {
    /// Adds received bytes and returns all complete events, with their separators.
    pub fn push(&mut self, bytes: &[u8]) -> Vec<u8> {
        let scan_start = self.pending.len().saturating_sub(1);
        self.pending.extend_from_slice(bytes);
        let mut end = 0;
        let mut at = scan_start;
        while at + 1 < self.pending.len() {
            if self.pending[at] == b'\n' && self.pending[at + 1] == b'\n' {
                self.count_event(end, at);
                at += 2;
                end = at;
            } else {
                at += 1;
            }
        }
        let rest = self.pending.split_off(end);
        std::mem::replace(&mut self.pending, rest)
    }

    fn count_event(&mut self, start: usize, end: usize) {
        if self.pending[start..end].starts_with(END_MARK) {
            self.done = true;
        } else {
            self.count += 1;
        }
    }

    /// Discards an incomplete event.
    pub fn discard(&mut self) {
        self.pending.clear();
    }

    /// Returns the size of the incomplete event.
    pub fn pending_bytes(&self) -> usize {
        self.pending.len()
    }
}
