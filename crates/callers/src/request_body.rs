//! Reads the bodies of callers' requests.

use crate::{
    account::{Held, OpenRequest},
    buffer::BodyBuffer,
};
use bytes::Bytes;
use http_body::Body;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use vanetally_admission::Reason;

/// Why a body was not read completely.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BodyError {
    /// It is longer than allowed.
    #[error("the body is too long")]
    TooLong,
    /// It is not well-formed, or its connection broke.
    #[error("the body did not arrive")]
    Broken,
    /// The host has no room for it.
    #[error("no room for the body")]
    NoRoom,
    /// Nothing of it arrived for too long.
    #[error("the body stopped")]
    Silent,
}

impl From<Reason> for BodyError {
    fn from(reason: Reason) -> Self {
        match reason {
            Reason::NoRoom => Self::NoRoom,
            Reason::Silent => Self::Silent,
        }
    }
}

/// A body that was read completely.
pub struct RequestBody {
    /// Its bytes.
    pub bytes: Bytes,
    /// Counts them as held.
    pub held: Held,
}

impl RequestBody {
    /// Reads a body of at most `limit` bytes into one buffer, however it is framed and cut into pieces.
    ///
    /// # Errors
    /// If it can't be read completely. It may have been read in part.
    pub async fn read(
        open: &OpenRequest,
        mut body: Incoming,
        limit: usize,
    ) -> Result<Self, BodyError> {
        let stated = body.size_hint().exact();
        let stated = stated.map(|bytes| usize::try_from(bytes).unwrap_or(usize::MAX));
        if open.is_refused() {
            return Err(BodyError::NoRoom);
        }
        if stated.is_some_and(|stated| stated > limit) {
            return Err(BodyError::TooLong);
        }
        let mut incoming = open.begin_body();
        let mut buffer = BodyBuffer::new(stated.unwrap_or(limit));
        loop {
            let frame = tokio::select! {
                biased;
                reason = incoming.refused() => return Err(reason.into()),
                frame = body.frame() => frame,
            };
            let data = match frame {
                None => break,
                Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
                Some(Err(_)) => return Err(BodyError::Broken),
            };
            if data.len() > limit - buffer.len() {
                return Err(BodyError::TooLong);
            }
            let held = buffer.held_with(data.len());
            if held > buffer.held() {
                incoming.grow(held)?;
            }
            if let Err(error) = buffer.extend(&data) {
                log::error!("event=body_not_held error=\"{error}\"");
                return Err(BodyError::NoRoom);
            }
            incoming.received(data.len());
        }
        let held = incoming.complete()?;
        Ok(Self { bytes: buffer.into_bytes(), held })
    }
}
