//! Connection of a caller, which ends with a reset while an answer without a stated end is incomplete.
//!
//! HTTP/1.0 has no chunks: there the close of the connection ends an answer of unknown length, so that a close
//! would make one that was cut off look complete, also if the process is killed.
//!
//! A caller whose request was refused before it was read may still be sending. What arrives is then read and dropped
//! for a while, since a close with unread bytes resets the connection and takes the refusal away.

use crate::{
    account::OpenConnection,
    read::{CALLER_READ_BYTES, poll_read_some},
};
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
    time::{Sleep, sleep},
};

/// Maximum time in which the rest of a refused request is read.
const DRAIN_TIME: Duration = Duration::from_secs(5);
/// Maximum number of bytes of it that are read.
const MAX_DRAINED_BYTES: usize = 8 << 20;
/// Number of bytes that are read at a time.
const DRAIN_BUFFER_BYTES: usize = 8 << 10;

/// Whether a connection ends with a reset, shared with the body that is sent on it.
#[derive(Clone, Debug, Default)]
pub struct ResetOnClose(Rc<Cell<bool>>);

impl ResetOnClose {
    /// Sets whether the connection ends with a reset.
    pub fn set(&self, is_reset: bool) {
        self.0.set(is_reset);
    }
}

/// The connection of a caller.
pub struct CallerStream {
    stream: TcpStream,
    reset: ResetOnClose,
    /// The setting that the socket has.
    is_set: bool,
    open: Rc<OpenConnection>,
    drain: Option<Drain>,
}

/// What may still be read of a refused request.
struct Drain {
    end: Pin<Box<Sleep>>,
    left: usize,
}

impl CallerStream {
    /// Wraps a connection, with the setting that governs its end.
    pub fn new(stream: TcpStream, reset: ResetOnClose, open: Rc<OpenConnection>) -> Self {
        Self { stream, reset, is_set: false, open, drain: None }
    }

    /// Reads and drops what still arrives, until the caller closes the connection or a bound is reached.
    fn poll_drain(&mut self, context: &mut Context<'_>) -> Poll<()> {
        let drain = self.drain.get_or_insert_with(|| Drain {
            end: Box::pin(sleep(DRAIN_TIME)),
            left: MAX_DRAINED_BYTES,
        });
        let mut bytes = [0; DRAIN_BUFFER_BYTES];
        while drain.left > 0 && drain.end.as_mut().poll(context).is_pending() {
            let mut buffer = ReadBuf::new(&mut bytes);
            let read = ready!(Pin::new(&mut self.stream).poll_read(context, &mut buffer));
            let count = buffer.filled().len();
            if read.is_err() || count == 0 {
                break;
            }
            drain.left = drain.left.saturating_sub(count);
        }
        Poll::Ready(())
    }

    /// Records what became of a write.
    fn written(&self, written: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        match written {
            Poll::Ready(Ok(count)) if count > 0 => self.open.taken(count),
            Poll::Ready(_) => {}
            Poll::Pending => self.open.blocked(),
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
        let (read, count) = poll_read_some(&mut self.stream, context, buffer, CALLER_READ_BYTES);
        if count > 0 {
            self.open.received();
        }
        read
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
        let flushed = Pin::new(&mut self.stream).poll_flush(context);
        if flushed.is_ready() {
            self.open.flushed();
        }
        flushed
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.apply()?;
        if self.is_set {
            return Poll::Ready(Ok(()));
        }
        if self.drain.is_none() {
            ready!(Pin::new(&mut self.stream).poll_shutdown(context))?;
        }
        if self.open.is_drained() {
            ready!(self.poll_drain(context));
        }
        Poll::Ready(Ok(()))
    }
}

impl Drop for CallerStream {
    fn drop(&mut self) {
        if let Err(error) = self.apply() {
            log::debug!("event=linger_unset error=\"{error}\"");
        }
    }
}
