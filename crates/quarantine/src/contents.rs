//! What a request consists of.

use vanetally_types::hash64;

/// Identifies the body of a request or a part of its prompt, whatever else the request contains.
///
/// A part has its own id without the highest bit, a body has a hash with that bit set, so that the logs show which part it
/// is.
pub type ContentHash = u64;

const BODY_BIT: ContentHash = 1 << 63;

/// Returns the content of a part of a prompt.
pub fn part_content(id: u64) -> ContentHash {
    id & !BODY_BIT
}

/// Returns the contents of a request: its body and the `parts` of its prompt that other requests may share. Without a
/// body, `target` (method and path) takes its place.
pub fn contents_of(
    body: &[u8],
    target: &[u8],
    parts: impl Iterator<Item = u64>,
) -> Vec<ContentHash> {
    let body = hash64(if body.is_empty() { target } else { body }) | BODY_BIT;
    let mut contents: Vec<ContentHash> = parts.map(part_content).chain([body]).collect();
    contents.sort_unstable();
    contents.dedup();
    contents
}
