//! Reads the bodies of callers' requests.

use crate::{
    body_buffer::BodyBuffer,
    callers::{Held, OpenRequest},
    hub::Hub,
};
use bytes::Bytes;
use http_body::Body;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use vanetally_admission::Reason;
use vanetally_ports::RefusalCause;

/// A body that was read completely.
pub(crate) struct RequestBody {
    /// Its bytes.
    pub bytes: Bytes,
    /// Counts them as held.
    _held: Held,
}

/// Reads a body into one buffer, however it is framed and cut into pieces.
///
/// # Errors
/// If it is too long, not well-formed, or refused by the host. It may have been read in part.
pub(crate) async fn read(
    hub: &Hub,
    open: &OpenRequest,
    mut body: Incoming,
) -> Result<RequestBody, RefusalCause> {
    let limit = hub.caller_limits().body_bytes;
    let stated = body.size_hint().exact().map(|bytes| usize::try_from(bytes).unwrap_or(usize::MAX));
    if open.is_refused() {
        return Err(RefusalCause::NoRoom);
    }
    if stated.is_some_and(|stated| stated > limit) {
        return Err(RefusalCause::TooLong);
    }
    let mut incoming = open.begin_body();
    let mut buffer = BodyBuffer::new(stated.unwrap_or(limit));
    loop {
        let frame = tokio::select! {
            biased;
            reason = incoming.refused() => return Err(cause_of(reason)),
            frame = body.frame() => frame,
        };
        let data = match frame {
            None => break,
            Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
            Some(Err(_)) => return Err(RefusalCause::Malformed),
        };
        if data.len() > limit - buffer.len() {
            return Err(RefusalCause::TooLong);
        }
        let held = buffer.held_with(data.len());
        if held > buffer.held() {
            incoming.grow(held).map_err(cause_of)?;
        }
        if let Err(error) = buffer.extend(&data) {
            log::error!("event=body_not_held error=\"{error}\"");
            return Err(RefusalCause::NoRoom);
        }
        incoming.received(data.len());
    }
    let held = incoming.complete().map_err(cause_of)?;
    Ok(RequestBody { bytes: buffer.into_bytes(), _held: held })
}

fn cause_of(reason: Reason) -> RefusalCause {
    match reason {
        Reason::NoRoom => RefusalCause::NoRoom,
        Reason::Silent => RefusalCause::BodyTimeout,
    }
}
