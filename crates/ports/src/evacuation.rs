//! Operators' requests to evacuate failure domains.

/// Format of the evacuation keys in the store.
///
/// A failure domain is evacuated for as long as its key exists: its upstreams get no new work.
pub trait EvacuationFormat {
    /// Returns the prefix of the keys; the rest of a key is the name of the failure domain.
    fn prefix(&self) -> &str;
}
