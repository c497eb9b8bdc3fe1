//! The head of an answer: status line and fields, and what they say of its body.

use crate::Malformed;
use httparse::{EMPTY_HEADER, Header, Response, Status};

/// Maximum number of fields of a head.
const MAX_FIELDS: usize = 100;
/// What each status line begins with; one digit of the version follows.
pub(crate) const VERSION_START: &[u8] = b"HTTP/1.";
/// Position of the status in a status line, and of the blank after it.
const STATUS_START: usize = 9;
const STATUS_END: usize = 12;

/// Statuses with which a body is treated in a way of its own.
const SWITCHING_PROTOCOLS: u16 = 101;
const NO_CONTENT: u16 = 204;
const RESET_CONTENT: u16 = 205;
const NOT_MODIFIED: u16 = 304;

const CONTENT_LENGTH: &str = "content-length";
const TRANSFER_ENCODING: &str = "transfer-encoding";
const CHUNKED: &[u8] = b"chunked";
/// Fields with a single value (RFC 9110). An answer that states two of one says two things.
const SINGLE_VALUED: [&str; 9] = [
    "age",
    "content-location",
    "content-range",
    "content-type",
    "etag",
    "expires",
    "last-modified",
    "location",
    "retry-after",
];

/// What ends the body of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BodyEnd {
    /// There is no body.
    None,
    /// The stated number of bytes.
    Length(u64),
    /// The last chunk.
    Chunks,
    /// The end of the connection.
    Close,
}

/// What the head of an answer says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Head {
    /// Another head follows.
    Informational,
    /// A body follows that ends like this.
    Final(BodyEnd),
}

/// Reads a complete head, with the empty line that ends it. `is_bodiless` if the method was `HEAD`.
pub(crate) fn read(bytes: &[u8], is_bodiless: bool) -> Result<Head, Malformed> {
    check_status_line(bytes)?;
    let mut fields = [EMPTY_HEADER; MAX_FIELDS];
    let mut response = Response::new(&mut fields);
    let length = match response.parse(bytes) {
        Ok(Status::Complete(length)) => length,
        Ok(Status::Partial) | Err(httparse::Error::NewLine) => return Err(Malformed::LineEnd),
        Err(httparse::Error::TooManyHeaders) => return Err(Malformed::HeadTooLong),
        Err(httparse::Error::Status | httparse::Error::Version) => {
            return Err(Malformed::StatusLine);
        }
        Err(_) => return Err(Malformed::Field),
    };
    if length != bytes.len() {
        return Err(Malformed::LineEnd);
    }
    let status = response.code.ok_or(Malformed::StatusLine)?;
    let knows_codings = response.version == Some(1);
    check_fields(response.headers)?;
    let stated = stated_end(response.headers, knows_codings)?;
    body_end(status, stated, is_bodiless)
}

/// Checks the form of the status line, of which only the reason may be left out.
fn check_status_line(bytes: &[u8]) -> Result<(), Malformed> {
    let version = bytes.get(..STATUS_START).ok_or(Malformed::StatusLine)?;
    let status = bytes.get(STATUS_START..STATUS_END).ok_or(Malformed::StatusLine)?;
    let has_blanks = version.ends_with(b" ") && bytes.get(STATUS_END) == Some(&b' ');
    let has_digits = status.iter().all(u8::is_ascii_digit);
    if !version.starts_with(VERSION_START) || !has_blanks || !has_digits {
        return Err(Malformed::StatusLine);
    }
    Ok(())
}

/// Checks that no field with a single value states two.
fn check_fields(fields: &[Header<'_>]) -> Result<(), Malformed> {
    let says_two = |name: &&str| {
        let mut values = named(fields, name);
        values.next().is_some_and(|first| values.any(|value| value != first))
    };
    match SINGLE_VALUED.iter().any(says_two) {
        true => Err(Malformed::TwoValues),
        false => Ok(()),
    }
}

/// Returns what the fields say of the end of the body, whatever the status; `None` if nothing.
fn stated_end(fields: &[Header<'_>], knows_codings: bool) -> Result<Option<BodyEnd>, Malformed> {
    let mut codings = named(fields, TRANSFER_ENCODING);
    let mut lengths = named(fields, CONTENT_LENGTH);
    match (codings.next(), lengths.next()) {
        (None, None) => Ok(None),
        (Some(_), Some(_)) => Err(Malformed::TwoLengths),
        (Some(coding), None) => {
            let is_only = codings.next().is_none() && coding.eq_ignore_ascii_case(CHUNKED);
            let is_known = knows_codings && is_only;
            is_known.then_some(Some(BodyEnd::Chunks)).ok_or(Malformed::Coding)
        }
        (None, Some(length)) => {
            let length = parse_length(length).filter(|_| lengths.next().is_none());
            length.map(|length| Some(BodyEnd::Length(length))).ok_or(Malformed::Length)
        }
    }
}

/// Returns what ends the body of an answer with this status.
fn body_end(status: u16, stated: Option<BodyEnd>, is_bodiless: bool) -> Result<Head, Malformed> {
    let is_empty = matches!(stated, None | Some(BodyEnd::Length(0)));
    match status {
        SWITCHING_PROTOCOLS => Err(Malformed::Status),
        100..=199 if is_empty => Ok(Head::Informational),
        NO_CONTENT if is_empty => Ok(Head::Final(BodyEnd::None)),
        100..=199 | NO_CONTENT => Err(Malformed::BodyForbidden),
        // It may also end with an empty chunk, or with its connection.
        RESET_CONTENT if matches!(stated, Some(BodyEnd::Length(1..))) => {
            Err(Malformed::BodyForbidden)
        }
        200..=599 if is_bodiless || status == NOT_MODIFIED => Ok(Head::Final(BodyEnd::None)),
        200..=599 => Ok(Head::Final(stated.unwrap_or(BodyEnd::Close))),
        _ => Err(Malformed::Status),
    }
}

/// Returns the values of the fields with this lower-case name.
pub(crate) fn named<'a>(
    fields: &'a [Header<'a>],
    name: &'a str,
) -> impl Iterator<Item = &'a [u8]> + 'a {
    fields.iter().filter(|field| field.name.eq_ignore_ascii_case(name)).map(|field| field.value)
}

/// Whether a field tells where a body ends.
pub(crate) fn is_framing(field: &Header<'_>) -> bool {
    [CONTENT_LENGTH, TRANSFER_ENCODING].iter().any(|name| field.name.eq_ignore_ascii_case(name))
}

/// Parses digits without sign or separators.
fn parse_length(text: &[u8]) -> Option<u64> {
    let is_number = !text.is_empty() && text.iter().all(u8::is_ascii_digit);
    let text = is_number.then(|| std::str::from_utf8(text).ok()).flatten()?;
    text.parse().ok()
}
