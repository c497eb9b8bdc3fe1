//! Connection of a caller, which ends with a reset while an answer without a stated end is incomplete.
//!
//! HTTP/1.0 has no chunks: there the close of the connection ends an answer of unknown length, so that a close
//! would make one that was cut off look complete, also if the process is killed.

use crate::callers::OpenConnection;
use socket2::SockRef;
use std::{
    cell::Cell,
    io::{self, IoSlice},
    pin::Pin,
    rc::Rc,
    task::{Context, Poll, ready},
    time::Duration,
};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};
/// Maximum number of bytes read at a time. The HTTP library enlarges its buffer, of which several are in use while a body
/// arrives, when a read fills the smallest one of 8 KiB.
const MAX_READ_BYTES: usize = 8_000;

/// Whether a connection ends with a reset, shared with the body that is sent on it.
#[derive(Clone, Debug, Default)]
pub(crate) struct ResetOnClose(Rc<Cell<bool>>);

impl ResetOnClose {
    /// Sets whether the connection ends with a reset.
    pub(crate) fn set(&self, is_reset: bool) {
        self.0.set(is_reset);
    }
}

/// The connection of a caller.
pub(crate) struct CallerStream {
    stream: TcpStream,
    reset: ResetOnClose,
    /// The setting that the socket has.
    is_set: bool,
    open: Rc<OpenConnection>,
}

impl CallerStream {
    /// Wraps a connection, with the setting that governs its end.
    pub(crate) fn new(stream: TcpStream, reset: ResetOnClose, open: Rc<OpenConnection>) -> Self {
        Self { stream, reset, is_set: false, open }
    }

    fn written(&self, written: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        if matches!(written, Poll::Ready(Ok(count)) if count > 0) {
            self.open.taken();
        }
        written
    }

    /// Brings the socket up to date.
    fn apply(&mut self) -> io::Result<()> {
        let wanted = self.reset.0.get();
        if std::mem::replace(&mut self.is_set, wanted) != wanted {
            // With a linger time of zero, closing the connection sends a reset.
            SockRef::from(&self.stream).set_linger(wanted.then_some(Duration::ZERO))?;
        }
        Ok(())
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let room = buffer.remaining().min(MAX_READ_BYTES);
        let mut part = ReadBuf::new(buffer.initialize_unfilled_to(room));
        ready!(Pin::new(&mut self.stream).poll_read(context, &mut part))?;
        let count = part.filled().len();
        buffer.advance(count);
        if count > 0 {
            self.open.received();
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.apply()?;
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.written(written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.apply()?;
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.written(written)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.apply()?;
        if self.is_set {
            return Poll::Ready(Ok(()));
        }
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}

impl Drop for CallerStream {
    fn drop(&mut self) {
        if let Err(error) = self.apply() {
            log::debug!("event=linger_unset error=\"{error}\"");
        }
    }
}
