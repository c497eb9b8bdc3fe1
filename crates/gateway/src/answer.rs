//! The body of an answer to a caller.

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use std::{
    pin::Pin,
    task::{Context, Poll},
};
use tokio::sync::mpsc;

/// The answer broke off: the caller must not take it for whole.
#[derive(Debug, thiserror::Error)]
#[error("the answer broke off")]
pub(crate) struct Cut;

/// One piece of an answer.
pub(crate) type Piece = Result<Frame<Bytes>, Cut>;

/// The body of an answer.
pub(crate) enum Answer {
    /// All of it is known.
    Whole(Option<Bytes>),
    /// It comes piece by piece.
    Relayed(mpsc::Receiver<Piece>),
}

impl Body for Answer {
    type Data = Bytes;
    type Error = Cut;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Cut>>> {
        match self.get_mut() {
            Self::Whole(bytes) => {
                let rest = bytes.take().filter(|bytes| !bytes.is_empty());
                Poll::Ready(rest.map(|bytes| Ok(Frame::data(bytes))))
            }
            Self::Relayed(pieces) => pieces.poll_recv(context),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Whole(bytes) => bytes.as_ref().is_none_or(Bytes::is_empty),
            Self::Relayed(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(bytes) => SizeHint::with_exact(bytes.as_ref().map_or(0, Bytes::len) as u64),
            Self::Relayed(_) => SizeHint::default(),
        }
    }
}
