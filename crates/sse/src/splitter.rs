//! Splitting a stream into whole events.

use crate::Scanner;
use bytes::{Bytes, BytesMut};
use vanetally_types::Name;

/// Splits a stream into whole events and follows the id of the last one.
///
/// An event that is longer than the bound is released in parts.
#[derive(Clone, Debug)]
pub struct EventSplitter {
    scanner: Scanner,
    pending: BytesMut,
    max_pending: usize,
    /// Whether parts of the pending event were released.
    is_partial: bool,
    last_id: Option<Name>,
    /// Whether an event, or a part of one, was released; comments are none.
    has_event: bool,
}

const ID_FIELD: &str = "id";
const BYTE_ORDER_MARK: char = '\u{feff}';
/// Longer ids are not sent on, since upstreams bound the headers of requests.
const MAX_ID_BYTES: usize = 1_024;
const LINE_ENDS: [char; 2] = ['\r', '\n'];

impl EventSplitter {
    /// Creates a splitter that holds at most `max_pending` bytes of an event back.
    pub fn new(max_pending: usize) -> Self {
        Self {
            scanner: Scanner::default(),
            pending: BytesMut::new(),
            max_pending,
            is_partial: false,
            last_id: None,
            has_event: false,
        }
    }

    /// Adds received bytes and returns all that may be passed on.
    pub fn push(&mut self, bytes: &[u8]) -> Bytes {
        let held = self.pending.len();
        self.pending.extend_from_slice(bytes);
        let released = match self.scanner.scan(bytes) {
            Some(end) => {
                let whole = self.pending.split_to(held + end).freeze();
                self.record_whole(&whole);
                whole
            }
            None => Bytes::new(),
        };
        self.has_event |= self.scanner.has_event();
        if self.pending.len() <= self.max_pending && !self.is_partial {
            return released;
        }
        self.is_partial = true;
        self.has_event = true;
        let rest = self.pending.split().freeze();
        if released.is_empty() { rest } else { [released, rest].concat().into() }
    }

    /// Whether the stream is inside an event.
    pub fn is_inside_event(&self) -> bool {
        self.scanner.is_inside_event()
    }

    /// Whether the answer that is being split has brought a whole event.
    pub fn has_new_event(&self) -> bool {
        self.scanner.has_event()
    }

    /// Whether any event, or a part of one, was released, also of answers before.
    pub fn has_event(&self) -> bool {
        self.has_event
    }

    /// Whether the stream may go on with a new answer: what was released ends with a whole event, and
    /// the place is known.
    pub fn may_resume(&self) -> bool {
        !self.is_partial && (!self.has_event || self.last_id.is_some())
    }

    /// Returns the id of the last whole event that was released.
    pub fn last_id(&self) -> Option<&Name> {
        self.last_id.as_ref()
    }

    /// Discards what is pending of a broken answer; a new one goes on after [`Self::last_id`].
    pub fn restart(&mut self) {
        self.pending.clear();
        self.scanner = Scanner::default();
    }

    fn record_whole(&mut self, whole: &[u8]) {
        if std::mem::take(&mut self.is_partial) {
            // The id may stand in a part that is gone.
            self.last_id = None;
            return;
        }
        let text = String::from_utf8_lossy(whole);
        let text = text.strip_prefix(BYTE_ORDER_MARK).unwrap_or(&text);
        if let Some(id) = text.split(LINE_ENDS).rev().find_map(id_of) {
            let is_short = (1..=MAX_ID_BYTES).contains(&id.len());
            let is_usable = is_short && !id.contains(char::is_control);
            self.last_id = is_usable.then(|| id.into());
        }
    }
}

/// Returns the id that a line sets, if it does.
fn id_of(line: &str) -> Option<&str> {
    let (field, value) = line.split_once(':').unwrap_or((line, ""));
    let value = value.strip_prefix(' ').unwrap_or(value);
    (field == ID_FIELD && !value.contains('\0')).then_some(value)
}
