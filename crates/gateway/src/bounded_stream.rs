//! Connections to upstreams and the store, with bounds on what these may send at a time.

use std::{
    cell::Cell,
    io,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use vanetally_callers::poll_read_some;

/// Maximum number of bytes before the end of the head of an answer. Informational answers come before it, any number of
/// them.
const MAX_HEAD_BYTES: usize = 128 << 10;
/// Number of bytes that are read in a row before other tasks have their turn.
const TURN_BYTES: usize = 64 << 10;

/// The bytes that an upstream may still send until the head of its answer is complete.
#[derive(Clone, Debug, Default)]
pub(crate) struct HeadBound(Rc<Cell<Option<usize>>>);

impl HeadBound {
    /// Bounds the bytes up to the head of the next answer.
    pub(crate) fn set(&self) {
        self.0.set(Some(MAX_HEAD_BYTES));
    }

    /// Lifts the bound: the head is complete.
    pub(crate) fn lift(&self) {
        self.0.set(None);
    }

    /// Records bytes that were read; returns whether they are within the bound.
    fn record(&self, count: usize) -> bool {
        let Some(left) = self.0.get() else {
            return true;
        };
        self.0.set(Some(left.saturating_sub(count)));
        count <= left
    }
}

/// A connection that yields to other tasks after some bytes, and fails where an answer does not come to its head.
pub(crate) struct BoundedStream<S> {
    stream: S,
    bound: HeadBound,
    /// Maximum number of bytes read at a time.
    max_read: usize,
    /// Bytes read since other tasks had their turn.
    in_row: usize,
}

impl<S> BoundedStream<S> {
    pub(crate) fn new(stream: S, bound: HeadBound, max_read: usize) -> Self {
        Self { stream, bound, max_read, in_row: 0 }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for BoundedStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.in_row >= TURN_BYTES {
            self.in_row = 0;
            context.waker().wake_by_ref();
            return Poll::Pending;
        }
        let max_read = self.max_read;
        let (read, count) = poll_read_some(&mut self.stream, context, buffer, max_read);
        match read {
            Poll::Pending => self.in_row = 0,
            Poll::Ready(_) => self.in_row += count,
        }
        if !self.bound.record(count) {
            let error = io::Error::new(io::ErrorKind::InvalidData, "the head is too long");
            return Poll::Ready(Err(error));
        }
        read
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for BoundedStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    /// Does nothing: a connection that is given up is dropped next, which resets it. After a regular end the system would
    /// still send what was written.
    fn poll_shutdown(self: Pin<&mut Self>, _context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, parts)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
