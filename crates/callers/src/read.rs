//! Reads from a connection in small pieces.

use std::{
    io,
    pin::Pin,
    task::{Context, Poll},
};
use tokio::io::{AsyncRead, ReadBuf};

/// Maximum number of bytes read at a time for a caller. The HTTP library enlarges its buffer when a read fills the smallest
/// one of 8 KiB, and several are in use while a body arrives.
pub const CALLER_READ_BYTES: usize = 8_000;

/// Reads at most `max` bytes; returns also their number.
pub fn poll_read_some(
    stream: &mut (impl AsyncRead + Unpin),
    context: &mut Context<'_>,
    buffer: &mut ReadBuf<'_>,
    max: usize,
) -> (Poll<io::Result<()>>, usize) {
    let room = buffer.remaining().min(max);
    let mut part = ReadBuf::new(buffer.initialize_unfilled_to(room));
    let read = Pin::new(stream).poll_read(context, &mut part);
    let count = part.filled().len();
    buffer.advance(count);
    (read, count)
}
