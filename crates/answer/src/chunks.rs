//! A body in chunks (RFC 9112, section 7.1).

use crate::{Malformed, head::is_framing};
use httparse::{EMPTY_HEADER, Status};

/// Maximum length of the line with the size of a chunk, which may have extensions.
const MAX_SIZE_LINE_BYTES: usize = 4 << 10;
/// Maximum length of the fields after the last chunk.
const MAX_TRAILER_BYTES: usize = 16 << 10;
/// Maximum number of these fields.
const MAX_TRAILER_FIELDS: usize = 100;
const CRLF: &[u8] = b"\r\n";

/// Follows a body in chunks.
#[derive(Debug, Default)]
pub(crate) struct Chunks {
    next: Next,
    /// The line, or the fields after the last chunk, as far as received.
    line: Vec<u8>,
}

/// What is due next.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Next {
    /// The line with the size of a chunk.
    #[default]
    Size,
    /// This many bytes of a chunk.
    Data(u64),
    /// The line end after a chunk.
    DataEnd,
    /// The fields after the last chunk, with the empty line that ends them.
    Trailer,
}

/// How far a body has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Progress {
    /// These bytes belong to it, and more are due.
    Open(usize),
    /// These bytes belong to it, and the last one ends it.
    Ended(usize),
}

impl Chunks {
    /// Follows the next bytes, up to the end of the body.
    pub(crate) fn read(&mut self, bytes: &[u8]) -> Result<Progress, Malformed> {
        let mut position = 0;
        while position < bytes.len() {
            if let Next::Data(left) = self.next {
                let rest = (bytes.len() - position) as u64;
                let taken = left.min(rest);
                position += taken as usize;
                self.next = if taken == left { Next::DataEnd } else { Next::Data(left - taken) };
                continue;
            }
            let byte = bytes[position];
            position += 1;
            self.line.push(byte);
            if byte == b'\n' && self.line_ended()? {
                return Ok(Progress::Ended(position));
            }
            self.check_open_line()?;
        }
        Ok(Progress::Open(position))
    }

    /// Returns the number of bytes that are held.
    pub(crate) fn held_bytes(&self) -> usize {
        self.line.len()
    }

    /// Handles a complete line; returns whether it ends the body.
    fn line_ended(&mut self) -> Result<bool, Malformed> {
        match self.next {
            Next::Trailer => {
                let is_end = self.line == CRLF || self.line.ends_with(b"\r\n\r\n");
                if is_end {
                    check_trailer(&self.line)?;
                }
                return Ok(is_end);
            }
            Next::DataEnd if self.line == CRLF => self.next = Next::Size,
            Next::DataEnd | Next::Data(_) => return Err(Malformed::Chunk),
            Next::Size => {
                let line = self.line.strip_suffix(CRLF).ok_or(Malformed::LineEnd)?;
                self.next = match read_size(line)? {
                    0 => Next::Trailer,
                    size => Next::Data(size),
                };
            }
        }
        self.line.clear();
        Ok(false)
    }

    /// Checks a line of which more may follow.
    fn check_open_line(&self) -> Result<(), Malformed> {
        let length = self.line.len();
        match self.next {
            Next::Size if length > MAX_SIZE_LINE_BYTES => Err(Malformed::Chunk),
            Next::DataEnd if !CRLF.starts_with(&self.line) => Err(Malformed::Chunk),
            Next::Trailer if length > MAX_TRAILER_BYTES => Err(Malformed::Trailer),
            _ => Ok(()),
        }
    }
}

fn check_trailer(bytes: &[u8]) -> Result<(), Malformed> {
    let has_bare_end = (0..bytes.len())
        .any(|position| bytes[position] == b'\n' && !bytes[..position].ends_with(b"\r"));
    let mut fields = [EMPTY_HEADER; MAX_TRAILER_FIELDS];
    match httparse::parse_headers(bytes, &mut fields) {
        Ok(Status::Complete((length, fields))) if length == bytes.len() && !has_bare_end => {
            let is_allowed = !fields.iter().any(is_framing);
            is_allowed.then_some(()).ok_or(Malformed::Trailer)
        }
        _ => Err(Malformed::Trailer),
    }
}

/// Reads the size of a chunk and checks its extensions.
fn read_size(line: &[u8]) -> Result<u64, Malformed> {
    let digits = line.iter().take_while(|byte| byte.is_ascii_hexdigit()).count();
    let (digits, extensions) = line.split_at(digits);
    if !are_extensions(extensions) {
        return Err(Malformed::Chunk);
    }
    let digits = std::str::from_utf8(digits).map_err(|_| Malformed::Chunk)?;
    u64::from_str_radix(digits, 16).map_err(|_| Malformed::Chunk)
}

/// Whether `text` is a list of extensions: names, each with a value that may be left out.
fn are_extensions(text: &[u8]) -> bool {
    let mut text = text;
    while !text.is_empty() {
        let Some(rest) = skip_blanks(text).strip_prefix(b";") else {
            return false;
        };
        let Some(rest) = skip_token(skip_blanks(rest)) else {
            return false;
        };
        text = match skip_blanks(rest).strip_prefix(b"=") {
            None => rest,
            Some(value) => match skip_value(skip_blanks(value)) {
                Some(rest) => rest,
                None => return false,
            },
        };
    }
    true
}

fn skip_blanks(text: &[u8]) -> &[u8] {
    let blanks = text.iter().take_while(|byte| matches!(byte, b' ' | b'\t')).count();
    &text[blanks..]
}

/// Returns what follows a token, which is not empty.
fn skip_token(text: &[u8]) -> Option<&[u8]> {
    let length = text.iter().take_while(|byte| is_token(**byte)).count();
    (length > 0).then(|| &text[length..])
}

fn is_token(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&byte)
}

/// Returns what follows a token or a quoted string.
fn skip_value(text: &[u8]) -> Option<&[u8]> {
    let Some(quoted) = text.strip_prefix(b"\"") else {
        return skip_token(text);
    };
    let mut position = 0;
    loop {
        match quoted.get(position)? {
            b'"' => return Some(&quoted[position + 1..]),
            b'\\' => {
                quoted.get(position + 1).filter(|byte| is_text(**byte))?;
                position += 2;
            }
            byte if is_text(*byte) => position += 1,
            _ => return None,
        }
    }
}

/// Whether a quoted string may hold the byte.
fn is_text(byte: u8) -> bool {
    byte == b'\t' || (byte >= b' ' && byte != 0x7f)
}
