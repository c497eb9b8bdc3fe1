//! Reads the bodies of callers' requests.

use crate::{body_buffer::BodyBuffer, hub::Hub};
use bytes::Bytes;
use http_body::Body;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use vanetally_ports::RefusalCause;

/// A body that was read completely.
pub(crate) struct RequestBody {
    /// Its bytes.
    pub bytes: Bytes,
}

/// Reads a body into one buffer, however it is framed and cut into pieces.
///
/// # Errors
/// If it is too long, not well-formed, or can't be held.
pub(crate) async fn read(hub: &Hub, mut body: Incoming) -> Result<RequestBody, RefusalCause> {
    let limit = hub.caller_limits().body_bytes;
    let stated = body.size_hint().exact().map(|bytes| usize::try_from(bytes).unwrap_or(usize::MAX));
    let mut buffer = BodyBuffer::new(stated.unwrap_or(limit).min(limit));
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| RefusalCause::Malformed)?;
        let data = frame.into_data().unwrap_or_default();
        if data.len() > limit - buffer.len() {
            return Err(RefusalCause::TooLong);
        }
        if let Err(error) = buffer.extend(&data) {
            log::error!("event=body_not_held error=\"{error}\"");
            return Err(RefusalCause::Overloaded);
        }
    }
    Ok(RequestBody { bytes: buffer.into_bytes() })
}
