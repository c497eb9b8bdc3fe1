//! TCP connections that can be ended at any time, so that nothing of them is sent any more.
//!
//! Bytes outlive the one who wrote them in three places: in the buffers of the process, in those of the system, which goes
//! on sending them after the connection was closed, and in the network. A `Revocable` connection covers the first two: it
//! writes nothing once its term is over, and it is reset, not closed, when it is revoked, dropped or left by a process that
//! ends. A process that stands still can't do either; for it the system gives the bytes up when the term is over
//! (`socket::bound_life`).

use crate::socket::bound_life;
use std::{
    cell::RefCell,
    io,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll, Waker},
    time::Duration,
};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// Whether the term of a connection lasts.
type IsInTerm = Box<dyn Fn() -> bool>;

/// What a connection and its revokers share.
struct Shared {
    /// `None` once the connection is revoked.
    stream: Option<TcpStream>,
    /// The task that waits for bytes.
    reader: Option<Waker>,
}

/// A connection that is reset when its term ends.
pub struct Revocable {
    shared: Rc<RefCell<Shared>>,
    is_in_term: IsInTerm,
}

/// Ends a [`Revocable`] connection.
#[derive(Clone)]
pub struct Revoker(Rc<RefCell<Shared>>);

impl Revocable {
    /// Bounds `stream` to a term of at most `life` from now, which lasts as long as `is_in_term` says.
    ///
    /// # Errors
    /// If a socket option can't be set.
    pub fn new(
        stream: TcpStream,
        life: Duration,
        is_in_term: impl Fn() -> bool + 'static,
    ) -> io::Result<Self> {
        bound_life(&stream, life)?;
        let shared = Rc::new(RefCell::new(Shared { stream: Some(stream), reader: None }));
        Ok(Self { shared, is_in_term: Box::new(is_in_term) })
    }

    /// Returns what ends the connection.
    pub fn revoker(&self) -> Revoker {
        Revoker(self.shared.clone())
    }

    /// Calls `operation` on the stream, unless it was revoked.
    fn with_stream<T>(
        &self,
        operation: impl FnOnce(Pin<&mut TcpStream>) -> Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        match &mut self.shared.borrow_mut().stream {
            Some(stream) => operation(Pin::new(stream)),
            None => Poll::Ready(Err(io::ErrorKind::ConnectionAborted.into())),
        }
    }

    /// Calls `operation` to write, or resets the connection if its term is over.
    fn write_with<T>(
        &self,
        operation: impl FnOnce(Pin<&mut TcpStream>) -> Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        if !(self.is_in_term)() {
            self.revoker().revoke();
        }
        self.with_stream(operation)
    }
}

impl Revoker {
    /// Resets the connection: what was written and has not been acknowledged is not sent again. Returns whether it was
    /// open.
    pub fn revoke(&self) -> bool {
        let (stream, reader) = {
            let mut shared = self.0.borrow_mut();
            (shared.stream.take(), shared.reader.take())
        };
        if let Some(reader) = reader {
            reader.wake();
        }
        stream.is_some()
    }

    /// Whether the connection was revoked.
    pub fn is_revoked(&self) -> bool {
        self.0.borrow().stream.is_none()
    }
}

impl AsyncRead for Revocable {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let read = self.with_stream(|stream| stream.poll_read(context, buffer));
        if read.is_pending() {
            self.shared.borrow_mut().reader = Some(context.waker().clone());
        }
        read
    }
}

impl AsyncWrite for Revocable {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.write_with(|stream| stream.poll_write(context, bytes))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.write_with(|stream| stream.poll_write_vectored(context, parts))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.with_stream(|stream| stream.poll_flush(context))
    }

    /// Does nothing: after a regular end the system would still send what was written.
    fn poll_shutdown(self: Pin<&mut Self>, _context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
}
