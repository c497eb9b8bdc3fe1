//! Hop-by-hop headers and keep-alive parameters.

use http::{
    HeaderMap, HeaderName, StatusCode,
    header::{
        CONNECTION, CONTENT_LENGTH, EXPECT, IF_MODIFIED_SINCE, IF_NONE_MATCH, PROXY_AUTHENTICATE,
        PROXY_AUTHORIZATION, RANGE, TE, TRAILER, TRANSFER_ENCODING, UPGRADE,
    },
};
use std::time::Duration;

const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
const PROXY_CONNECTION: HeaderName = HeaderName::from_static("proxy-connection");

/// Hop-by-hop headers, which are not forwarded.
const HOP_HEADERS: [HeaderName; 10] = [
    CONNECTION,
    KEEP_ALIVE,
    PROXY_CONNECTION,
    PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
    EXPECT,
];

/// Headers by which a caller states what it has already.
const CONDITIONS: [HeaderName; 2] = [IF_MODIFIED_SINCE, IF_NONE_MATCH];

/// Returns the end-to-end headers: all but the hop-by-hop ones and those listed in `Connection`.
pub(crate) fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    let mut kept = headers.clone();
    for name in listed(headers).iter().chain(&HOP_HEADERS) {
        kept.remove(name);
    }
    kept
}

/// Removes the headers that `Connection` lists, since they are not forwarded and so must not be acted on, but for the
/// hop-by-hop ones and the length of the body.
pub(crate) fn remove_listed(headers: &mut HeaderMap) {
    let is_read = |name: &HeaderName| HOP_HEADERS.contains(name) || *name == CONTENT_LENGTH;
    for name in listed(headers).iter().filter(|name| !is_read(name)) {
        headers.remove(name);
    }
}

/// Whether a request with these headers may be answered with `status`: some answer a range or a condition only.
pub(crate) fn may_answer(status: StatusCode, headers: &HeaderMap) -> bool {
    match status {
        StatusCode::PARTIAL_CONTENT => headers.contains_key(RANGE),
        StatusCode::NOT_MODIFIED => CONDITIONS.iter().any(|name| headers.contains_key(name)),
        _ => true,
    }
}

/// Returns the names that `Connection` lists.
fn listed(headers: &HeaderMap) -> Vec<HeaderName> {
    headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect()
}

/// Returns the idle timeout stated in the upstream's `Keep-Alive` header.
pub(crate) fn keep_alive_timeout(headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get(KEEP_ALIVE)?.to_str().ok()?;
    let seconds = text.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?;
    seconds.trim().parse().ok().map(Duration::from_secs)
}
