//! Server-sent event streams: where events end, and splitting into whole events.
//!
//! Lines end with LF, CRLF or CR, and events with an empty line, as the HTML standard defines them:
//! <https://html.spec.whatwg.org/multipage/server-sent-events.html#parsing-an-event-stream>.
#![deny(missing_docs, unsafe_code)]

mod scanner;
mod splitter;

pub use scanner::Scanner;
pub use splitter::EventSplitter;
