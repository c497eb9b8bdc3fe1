//! Connections to upstreams and the store: what they bring is checked before the HTTP library reads it, and bounded at a
//! time.

use crate::telemetry;
use http::Method;
use std::{
    cell::RefCell,
    io,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use vanetally_answer::{AnswerReader, Malformed};
use vanetally_callers::poll_read_some;

/// Number of bytes that are read in a row before other tasks have their turn.
const TURN_BYTES: usize = 64 << 10;

/// The answers of one connection, as far as they were read.
#[derive(Clone, Debug, Default)]
pub(crate) struct Answers(Rc<RefCell<AnswerReader>>);

impl Answers {
    /// Awaits the answer to a request with this method, which is sent now.
    pub(crate) fn expect(&self, method: &Method) {
        self.0.borrow_mut().expect(method == Method::HEAD);
    }

    /// Whether the last answer is complete and nothing came after it.
    pub(crate) fn is_idle(&self) -> bool {
        self.0.borrow().is_idle()
    }

    /// Returns why the connection brought bytes that are no answer.
    pub(crate) fn malformed(&self) -> Option<Malformed> {
        self.0.borrow().malformed()
    }

    /// Follows bytes that were read; returns the number of those that belong to an answer.
    fn read(&self, bytes: &[u8]) -> usize {
        let taken = self.0.borrow_mut().read(bytes);
        if let Some(malformed) = self.malformed().filter(|_| taken < bytes.len()) {
            telemetry::answer_malformed(malformed);
        }
        taken
    }
}

/// A connection that yields to other tasks after some bytes, and ends where bytes are no answer.
pub(crate) struct BoundedStream<S> {
    stream: S,
    answers: Answers,
    /// Maximum number of bytes read at a time.
    max_read: usize,
    /// Bytes read since other tasks had their turn.
    in_row: usize,
}

impl<S> BoundedStream<S> {
    pub(crate) fn new(stream: S, answers: Answers, max_read: usize) -> Self {
        Self { stream, answers, max_read, in_row: 0 }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for BoundedStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if let Some(malformed) = self.answers.malformed() {
            return Poll::Ready(Err(invalid_data(malformed)));
        }
        if self.in_row >= TURN_BYTES {
            self.in_row = 0;
            context.waker().wake_by_ref();
            return Poll::Pending;
        }
        let (before, max_read) = (buffer.filled().len(), self.max_read);
        let (read, count) = poll_read_some(&mut self.stream, context, buffer, max_read);
        match read {
            Poll::Pending => self.in_row = 0,
            Poll::Ready(_) => self.in_row += count,
        }
        let taken = self.answers.read(&buffer.filled()[before..]);
        // What belongs to an answer is passed on; the next read fails.
        buffer.set_filled(before + taken);
        match self.answers.malformed() {
            Some(malformed) if taken == 0 => Poll::Ready(Err(invalid_data(malformed))),
            _ => read,
        }
    }
}

fn invalid_data(malformed: Malformed) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, malformed)
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
