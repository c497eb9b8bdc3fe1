//! Response bodies sent to callers.

use crate::{
    caller_stream::ResetOnClose,
    callers::{Held, OpenRequest},
};
use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use std::{
    pin::Pin,
    task::{Context, Poll, ready},
};
use tokio::sync::mpsc;

/// The response was truncated. The connection is closed so that the caller cannot take it for
/// complete.
#[derive(Debug, thiserror::Error)]
#[error("response truncated")]
pub(crate) struct Truncated;

/// A piece of a response that is relayed.
pub(crate) enum Piece {
    /// A frame of the body.
    Frame(Frame<Bytes>),
    /// The end of a complete body. A response that stops without it is truncated.
    End,
}

/// The body of a response to a caller.
pub(crate) enum ResponseBody {
    /// The complete body.
    Full(Option<Bytes>),
    /// Pieces relayed from an upstream as they arrive.
    Stream {
        /// The pieces.
        pieces: mpsc::Receiver<Piece>,
        /// Set while the response is incomplete, if only the close of the connection tells its end.
        reset: Option<ResetOnClose>,
    },
}

impl ResponseBody {
    /// Creates the body of a response of which `pieces` arrive.
    pub(crate) fn relayed(pieces: mpsc::Receiver<Piece>) -> Self {
        Self::Stream { pieces, reset: None }
    }

    /// Makes the connection end with a reset unless the body is complete, if its length is unknown.
    pub(crate) fn reset_if_truncated(mut self, connection: &ResetOnClose) -> Self {
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
            Self::Full(bytes) => {
                let piece = bytes.take().map(|mut whole| {
                    if whole.len() <= HANDED_BYTES {
                        return whole;
                    }
                    // A copy: what waits in the connection must not keep the whole body.
                    let piece = Bytes::copy_from_slice(&whole.split_to(HANDED_BYTES));
                    *bytes = Some(whole);
                    piece
                });
                let piece = piece.filter(|piece| !piece.is_empty());
                Poll::Ready(piece.map(|piece| Ok(Frame::data(piece))))
            }
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
            Self::Full(bytes) => bytes.as_ref().is_none_or(Bytes::is_empty),
            Self::Stream { .. } => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Full(bytes) => SizeHint::with_exact(bytes.as_ref().map_or(0, Bytes::len) as u64),
            Self::Stream { .. } => SizeHint::default(),
        }
    }
}

/// Bytes of a complete body that are handed over at a time. The rest stays counted as held.
const HANDED_BYTES: usize = 32 << 10;

/// The body of the answer to a request that counts as open until it has been handed over.
pub(crate) struct ServedBody {
    body: ResponseBody,
    _open: OpenRequest,
    /// Counts a complete body as held.
    _held: Option<Held>,
}

impl ServedBody {
    /// Wraps the body of an answer to `open`.
    pub(crate) fn new(body: ResponseBody, open: OpenRequest) -> Self {
        let held = match &body {
            ResponseBody::Full(Some(bytes)) if bytes.len() > HANDED_BYTES => {
                Some(open.hold_answer(bytes.len()))
            }
            ResponseBody::Full(_) | ResponseBody::Stream { .. } => None,
        };
        Self { body, _open: open, _held: held }
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
