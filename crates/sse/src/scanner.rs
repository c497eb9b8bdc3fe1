//! Finding the ends of events.

const CR: u8 = b'\r';
const LF: u8 = b'\n';
const COMMENT: u8 = b':';

/// What the current line has shown so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Line {
    /// Nothing.
    #[default]
    Empty,
    /// It is a comment.
    Comment,
    /// It is a field.
    Field,
}

/// Follows a stream and finds the places where it is inside no event.
///
/// Comments between events belong to none of them, so that a stream may end after one.
#[derive(Clone, Debug, Default)]
pub struct Scanner {
    line: Line,
    /// Whether the current event has a field.
    has_field: bool,
    /// Whether the last byte was a CR, which may be the first half of a line's end.
    after_cr: bool,
    /// Whether an event has ended.
    has_event: bool,
}

impl Scanner {
    /// Follows the next bytes of the stream; returns the length up to the last place in them that is
    /// inside no event, or `None` if there is no such place.
    pub fn scan(&mut self, bytes: &[u8]) -> Option<usize> {
        let mut last = 0;
        while let Some(length) = self.next_end(&bytes[last..]) {
            last += length;
        }
        (last > 0).then_some(last)
    }

    /// Follows the next bytes up to the first place that is inside no event; returns the length up to there, or `None`
    /// if there is no such place.
    pub fn next_end(&mut self, bytes: &[u8]) -> Option<usize> {
        let at = bytes.iter().position(|byte| {
            self.step(*byte);
            !self.is_inside_event()
        });
        at.map(|at| at + 1)
    }

    /// Whether the stream has begun an event, or a line, that has not ended.
    pub fn is_inside_event(&self) -> bool {
        self.has_field || self.line != Line::Empty
    }

    /// Whether the stream has brought a whole event; comments are none.
    pub fn has_event(&self) -> bool {
        self.has_event
    }

    fn step(&mut self, byte: u8) {
        let is_second_half = std::mem::replace(&mut self.after_cr, byte == CR) && byte == LF;
        match (byte, self.line) {
            (LF, _) if is_second_half => {}
            (CR | LF, line) => {
                self.line = Line::Empty;
                match line {
                    Line::Empty => self.has_event |= std::mem::take(&mut self.has_field),
                    Line::Field => self.has_field = true,
                    Line::Comment => {}
                }
            }
            (COMMENT, Line::Empty) => self.line = Line::Comment,
            (_, Line::Empty) => self.line = Line::Field,
            _ => {}
        }
    }
}
