//! Follows the answers of one connection.

use crate::{
    Malformed,
    chunks::{Chunks, Progress},
    head::{self, BodyEnd, Head, VERSION_START},
};

/// Maximum number of bytes up to the end of the head of an answer. Informational answers come before it, any number of
/// them.
pub const MAX_HEAD_BYTES: usize = 32 << 10;
const HEAD_END: &[u8] = b"\r\n\r\n";

/// The beginning of a request whose answer has no body.
const BODILESS_START: &[u8] = b"HEAD ";

/// Follows the answers of one connection, each of which is due after a request.
#[derive(Debug)]
pub struct AnswerReader {
    next: Next,
    max_head: usize,
}

impl Default for AnswerReader {
    fn default() -> Self {
        Self::with_max_head(MAX_HEAD_BYTES)
    }
}

/// What is due next.
#[derive(Debug, Default)]
enum Next {
    /// Nothing: the last answer is complete, or there was no request.
    #[default]
    Nothing,
    /// The head of an answer.
    Head(OpenHead),
    /// This many bytes of a body, more than zero.
    Body(u64),
    /// The rest of a body in chunks.
    Chunks(Chunks),
    /// The rest of a body that ends with its connection.
    Close,
    /// Nothing more is read.
    Malformed(Malformed),
}

/// A head as far as it was received.
#[derive(Debug)]
struct OpenHead {
    bytes: Vec<u8>,
    /// Maximum length, less that of the informational answers that came before it.
    left: usize,
    is_bodiless: bool,
}

impl AnswerReader {
    /// Creates a reader of answers whose heads, with the informational answers before them, have at most `max_head` bytes.
    pub fn with_max_head(max_head: usize) -> Self {
        Self { next: Next::default(), max_head }
    }

    /// Awaits the answer to a request that is sent now; `is_bodiless` if its method is `HEAD`.
    pub fn expect(&mut self, is_bodiless: bool) {
        if self.is_idle() {
            let (bytes, left) = (Vec::new(), self.max_head);
            self.next = Next::Head(OpenHead { bytes, left, is_bodiless });
        }
    }

    /// Awaits the answer to a request of which these bytes are sent now, unless they are a later part of one; returns
    /// whether they are the first.
    pub fn sent(&mut self, bytes: &[u8]) -> bool {
        let is_first = self.is_idle();
        self.expect(bytes.starts_with(BODILESS_START));
        is_first
    }

    /// Follows the next bytes of the connection. Returns the number of those that belong to the answer; if there are more,
    /// [`AnswerReader::malformed`] tells why. Nothing of a head that is malformed belongs to an answer, and not all of a
    /// body that goes on after its stated length.
    pub fn read(&mut self, bytes: &[u8]) -> usize {
        let (mut taken, mut head_start) = (0, None);
        while taken < bytes.len() {
            if self.awaits_head() {
                head_start.get_or_insert(taken);
            }
            match self.step(&bytes[taken..]) {
                Ok(count) => taken += count,
                Err(Malformed::Surplus) if taken > 0 && is_rest(&bytes[taken..]) => {
                    self.next = Next::Malformed(Malformed::BeyondLength);
                    return head_start.unwrap_or(taken - 1);
                }
                Err(malformed) => {
                    self.next = Next::Malformed(malformed);
                    break;
                }
            }
        }
        taken
    }

    /// Whether the last answer is complete and nothing came after it.
    pub fn is_idle(&self) -> bool {
        matches!(self.next, Next::Nothing)
    }

    /// Returns why the connection brought bytes that are no answer.
    pub fn malformed(&self) -> Option<Malformed> {
        match self.next {
            Next::Malformed(malformed) => Some(malformed),
            _ => None,
        }
    }

    /// Whether a head is due that is not complete.
    pub fn awaits_head(&self) -> bool {
        matches!(self.next, Next::Head(_))
    }

    /// Returns the number of bytes of lines that are held since they are not complete.
    pub fn held_bytes(&self) -> usize {
        match &self.next {
            Next::Head(head) => head.bytes.len(),
            Next::Chunks(chunks) => chunks.held_bytes(),
            _ => 0,
        }
    }

    /// Follows at least one byte.
    fn step(&mut self, bytes: &[u8]) -> Result<usize, Malformed> {
        match &mut self.next {
            Next::Nothing => Err(Malformed::Surplus),
            Next::Malformed(malformed) => Err(*malformed),
            Next::Close => Ok(bytes.len()),
            Next::Head(head) => {
                let (taken, read) = head.read(bytes)?;
                match read {
                    Some(Head::Final(end)) => self.next = after_head(end),
                    Some(Head::Informational) => head.restart(),
                    None => {}
                }
                Ok(taken)
            }
            Next::Body(left) => {
                let taken = (*left).min(bytes.len() as u64);
                *left -= taken;
                if *left == 0 {
                    self.next = Next::Nothing;
                }
                Ok(taken as usize)
            }
            Next::Chunks(chunks) => match chunks.read(bytes)? {
                Progress::Open(taken) => Ok(taken),
                Progress::Ended(taken) => {
                    self.next = Next::Nothing;
                    Ok(taken)
                }
            },
        }
    }
}

fn after_head(end: BodyEnd) -> Next {
    match end {
        BodyEnd::None | BodyEnd::Length(0) => Next::Nothing,
        BodyEnd::Length(length) => Next::Body(length),
        BodyEnd::Chunks => Next::Chunks(Chunks::default()),
        BodyEnd::Close => Next::Close,
    }
}

impl OpenHead {
    /// Adds bytes up to the end of the head; returns their number, and the head if it is complete.
    fn read(&mut self, bytes: &[u8]) -> Result<(usize, Option<Head>), Malformed> {
        let room = self.left.saturating_sub(self.bytes.len());
        let before = self.bytes.len();
        let offered = &bytes[..bytes.len().min(room)];
        // A head without end takes no more than the maximum.
        self.bytes.reserve_exact(offered.len());
        self.bytes.extend_from_slice(offered);
        // The end may have begun in the bytes before.
        let from = before.saturating_sub(HEAD_END.len() - 1);
        let end = find(&self.bytes[from..], HEAD_END).map(|position| from + position);
        let length = end.map_or(self.bytes.len(), |end| end + HEAD_END.len());
        self.bytes.truncate(length);
        self.check_open(before)?;
        match end {
            Some(_) => {
                let head = head::read(&self.bytes, self.is_bodiless)?;
                Ok((length - before, Some(head)))
            }
            None if offered.len() < bytes.len() => Err(Malformed::HeadTooLong),
            None => Ok((offered.len(), None)),
        }
    }

    /// Checks the beginning of the head, and the ends of the lines that have come since it had `before` bytes.
    fn check_open(&self, before: usize) -> Result<(), Malformed> {
        let start = &self.bytes[..self.bytes.len().min(VERSION_START.len())];
        if !VERSION_START.starts_with(start) {
            return Err(Malformed::StatusLine);
        }
        let is_bare =
            |position: usize| self.bytes[position] == b'\n' && self.bytes[position - 1] != b'\r';
        match (before.max(1)..self.bytes.len()).any(is_bare) {
            true => Err(Malformed::LineEnd),
            false => Ok(()),
        }
    }

    /// Begins another head after an informational one.
    fn restart(&mut self) {
        self.left -= self.bytes.len();
        self.bytes.clear();
    }
}

/// Whether bytes that follow an answer belong to its body, since they neither begin another one nor only end a line.
fn is_rest(bytes: &[u8]) -> bool {
    let start = &bytes[..bytes.len().min(VERSION_START.len())];
    let ends_line = bytes.iter().all(|byte| matches!(byte, b'\r' | b'\n'));
    !VERSION_START.starts_with(start) && !ends_line
}

fn find(bytes: &[u8], sought: &[u8]) -> Option<usize> {
    bytes.windows(sought.len()).position(|window| window == sought)
}
