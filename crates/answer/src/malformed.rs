//! Why bytes are no answer.

/// Why bytes are no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Malformed {
    /// Bytes came although no answer was due.
    #[error("bytes that answer no request")]
    Surplus,
    /// Bytes that begin no answer came with the last byte of the stated length, so that the length is wrong.
    #[error("the body goes on after its stated length")]
    BeyondLength,
    /// The status line does not have the form of one.
    #[error("malformed status line")]
    StatusLine,
    /// The status is outside 100 to 599, or switches to a protocol that was not asked for.
    #[error("invalid status")]
    Status,
    /// A line does not end with CRLF.
    #[error("a line that does not end with CRLF")]
    LineEnd,
    /// A line is no field, or the name or the value of a field holds bytes that it must not.
    #[error("malformed field")]
    Field,
    /// A field that has one value states two.
    #[error("two values of a field that has one")]
    TwoValues,
    /// The length is not a number, or is stated more than once.
    #[error("malformed length")]
    Length,
    /// A transfer coding other than `chunked`, or one that the version does not know.
    #[error("unknown transfer coding")]
    Coding,
    /// Both a length and a transfer coding tell where the body ends.
    #[error("both a length and a transfer coding")]
    TwoLengths,
    /// A body is stated for a status that has none.
    #[error("a body for a status without one")]
    BodyForbidden,
    /// The head exceeds its limit.
    #[error("the head is too long")]
    HeadTooLong,
    /// A chunk does not begin with its size, or does not end where that says.
    #[error("malformed chunk")]
    Chunk,
    /// The fields after the last chunk are malformed, too long, or tell where the body ends.
    #[error("malformed trailer")]
    Trailer,
}

impl Malformed {
    /// Returns the name used in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Surplus => "surplus",
            Self::BeyondLength => "beyond_length",
            Self::StatusLine => "status_line",
            Self::Status => "status",
            Self::LineEnd => "line_end",
            Self::Field => "field",
            Self::TwoValues => "two_values",
            Self::Length => "length",
            Self::Coding => "coding",
            Self::TwoLengths => "two_lengths",
            Self::BodyForbidden => "body_forbidden",
            Self::HeadTooLong => "head_too_long",
            Self::Chunk => "chunk",
            Self::Trailer => "trailer",
        }
    }
}
