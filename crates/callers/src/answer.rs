//! Response bodies sent to callers.

use crate::{
    account::{Callers, Held, OpenRequest},
    buffer::BodyBuffer,
    stream::ResetOnClose,
};
use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use std::{
    pin::Pin,
    rc::Rc,
    task::{Context, Poll, ready},
};
use tokio::sync::mpsc;

/// Bytes of a complete body that are handed over at a time. The rest stays counted as held.
const HANDED_BYTES: usize = 16 << 10;

/// The response was truncated. The connection is closed so that the caller cannot take it for
/// complete.
#[derive(Debug, thiserror::Error)]
#[error("response truncated")]
pub struct Truncated;

/// A piece of a response that is relayed.
pub enum Piece {
    /// A frame of the body.
    Frame(Frame<Bytes>),
    /// The end of a complete body. A response that stops without it is truncated.
    End,
}

/// The body of a response to a caller.
pub enum ResponseBody {
    /// The complete body.
    Full(FullBody),
    /// Pieces relayed from an upstream as they arrive.
    Stream {
        /// The pieces.
        pieces: mpsc::Receiver<Piece>,
        /// Set while the response is incomplete, if only the close of the connection tells its end.
        reset: Option<ResetOnClose>,
    },
}

/// A complete body, until it has been handed over.
#[derive(Default)]
pub struct FullBody {
    bytes: Bytes,
    /// Counts it as held.
    _held: Option<Held>,
}

impl FullBody {
    /// Creates a body that is counted by `held`.
    pub fn held(bytes: Bytes, held: Held) -> Self {
        Self { bytes, _held: Some(held) }
    }

    /// Reads the body of an upstream's answer, of at most `max` bytes, into one buffer. It counts as held from when it has
    /// more than one piece.
    ///
    /// # Errors
    /// If it is truncated or too long, or the system has no memory for it.
    pub async fn read(
        callers: &Rc<Callers>,
        mut body: Incoming,
        max: usize,
    ) -> Result<Self, Truncated> {
        let mut buffer = BodyBuffer::new(max);
        let mut held = None;
        while let Some(frame) = body.frame().await {
            let data = frame.map_err(|_| Truncated)?.into_data().unwrap_or_default();
            if data.len() > max - buffer.len() {
                return Err(Truncated);
            }
            let bytes = buffer.held_with(data.len());
            if bytes > HANDED_BYTES && bytes > buffer.held() {
                held.get_or_insert_with(|| callers.begin_answer()).hold_answer(bytes);
            }
            if let Err(error) = buffer.extend(&data) {
                log::error!("event=body_not_held error=\"{error}\"");
                return Err(Truncated);
            }
        }
        Ok(Self { bytes: buffer.into_bytes(), _held: held })
    }

    /// Returns its bytes.
    pub fn bytes(&self) -> &[u8] {
        &self.bytes
    }

    /// Takes the next piece. It is a copy, since what waits in the connection must not keep the whole body.
    fn take_piece(&mut self) -> Option<Bytes> {
        if self.bytes.len() > HANDED_BYTES {
            return Some(Bytes::copy_from_slice(&self.bytes.split_to(HANDED_BYTES)));
        }
        let last = std::mem::take(self).bytes;
        (!last.is_empty()).then_some(last)
    }
}

impl From<Bytes> for FullBody {
    /// Creates a body of the host's own, which is short.
    fn from(bytes: Bytes) -> Self {
        Self { bytes, _held: None }
    }
}

impl ResponseBody {
    /// Creates the body of a response of which `pieces` arrive.
    pub fn relayed(pieces: mpsc::Receiver<Piece>) -> Self {
        Self::Stream { pieces, reset: None }
    }

    /// Makes the connection end with a reset unless the body is complete, if its length is unknown.
    pub fn reset_if_truncated(mut self, connection: &ResetOnClose) -> Self {
        if let Self::Stream { reset, .. } = &mut self {
            connection.set(true);
            *reset = Some(connection.clone());
        }
        self
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = Truncated;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Truncated>>> {
        match self.get_mut() {
            Self::Full(body) => Poll::Ready(body.take_piece().map(|piece| Ok(Frame::data(piece)))),
            Self::Stream { pieces, reset } => {
                Poll::Ready(match ready!(pieces.poll_recv(context)) {
                    Some(Piece::Frame(frame)) => Some(Ok(frame)),
                    Some(Piece::End) => {
                        if let Some(reset) = reset {
                            reset.set(false);
                        }
                        None
                    }
                    None => Some(Err(Truncated)),
                })
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Full(body) => body.bytes.is_empty(),
            Self::Stream { .. } => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Full(body) => SizeHint::with_exact(body.bytes.len() as u64),
            Self::Stream { .. } => SizeHint::default(),
        }
    }
}

/// The body of the answer to a request that counts as open until it has been handed over.
pub struct ServedBody {
    body: ResponseBody,
    _open: OpenRequest,
}

impl ServedBody {
    /// Wraps the body of an answer to `open`.
    pub fn new(body: ResponseBody, open: OpenRequest) -> Self {
        Self { body, _open: open }
    }
}

impl Body for ServedBody {
    type Data = Bytes;
    type Error = Truncated;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Truncated>>> {
        Pin::new(&mut self.get_mut().body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
