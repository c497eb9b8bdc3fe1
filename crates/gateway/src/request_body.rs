//! Reads the bodies of callers' requests.

use crate::hub::Hub;
use hyper::body::Incoming;
use vanetally_callers::{BodyError, OpenRequest, RequestBody};
use vanetally_ports::RefusalCause;

/// Reads a body within the limit of the configuration.
///
/// # Errors
/// If it is too long, not well-formed, or refused by the host. It may have been read in part.
pub(crate) async fn read(
    hub: &Hub,
    open: &OpenRequest,
    body: Incoming,
) -> Result<RequestBody, RefusalCause> {
    let limit = hub.caller_limits().body_bytes;
    RequestBody::read(open, body, limit).await.map_err(|error| match error {
        BodyError::TooLong => RefusalCause::TooLong,
        BodyError::Broken => RefusalCause::Malformed,
        BodyError::NoRoom => RefusalCause::NoRoom,
        BodyError::Silent => RefusalCause::BodyTimeout,
    })
}
