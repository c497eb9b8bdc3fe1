//! How the end of an upstream's response is told.

use http::{
    HeaderMap,
    header::{CONTENT_ENCODING, CONTENT_LENGTH, CONTENT_TYPE, TRANSFER_ENCODING},
};
use vanetally_sse::Scanner;

/// What ends the body of a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Framing {
    /// Its stated length.
    Length,
    /// The last chunk.
    Chunks,
    /// The end of its connection, which also comes if the upstream breaks off.
    Close,
}

const EVENT_STREAM: &str = "text/event-stream";

impl Framing {
    /// Returns the framing of a response with these headers.
    pub(crate) fn of(headers: &HeaderMap) -> Self {
        if headers.contains_key(TRANSFER_ENCODING) {
            Self::Chunks
        } else if headers.contains_key(CONTENT_LENGTH) {
            Self::Length
        } else {
            Self::Close
        }
    }

    /// Returns the name used in logs and metrics.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Self::Length => "length",
            Self::Chunks => "chunks",
            Self::Close => "close",
        }
    }
}

/// Whether a response that answers a stream consists of events. One without a type does unless it states its
/// length.
pub(crate) fn has_events(headers: &HeaderMap) -> bool {
    if headers.contains_key(CONTENT_ENCODING) {
        return false;
    }
    match headers.get(CONTENT_TYPE) {
        Some(value) => value.to_str().is_ok_and(is_event_stream),
        None => Framing::of(headers) != Framing::Length,
    }
}

/// Whether a body that was read to its end, and consists of events by its type, stops inside an event, or brings none
/// although only the close of its connection ended it.
pub(crate) fn is_cut_off(headers: &HeaderMap, body: &[u8]) -> bool {
    if !headers.contains_key(CONTENT_TYPE) || !has_events(headers) {
        return false;
    }
    let mut scanner = Scanner::default();
    scanner.scan(body);
    let is_unknown_end = !scanner.has_event() && Framing::of(headers) == Framing::Close;
    scanner.is_inside_event() || is_unknown_end
}

fn is_event_stream(content_type: &str) -> bool {
    let essence = content_type.split(';').next().unwrap_or_default();
    essence.trim().eq_ignore_ascii_case(EVENT_STREAM)
}
