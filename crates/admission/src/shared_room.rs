//! Room that many bodies of unknown length share while they are read.

/// Length up to which a body uses the part for small ones.
const SMALL_BYTES: usize = 16 << 10;

/// What is left of a room. A part of it is for the beginnings of bodies alone, so that a few large ones leave room for many
/// small ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SharedRoom {
    small_left: usize,
    large_left: usize,
}

/// What one body uses of a room, in bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Share {
    small: usize,
    large: usize,
}

impl SharedRoom {
    /// Creates a room of `bytes` for the beginnings of bodies, and as many for the rest of them.
    pub fn new(bytes: usize) -> Self {
        Self { small_left: bytes, large_left: bytes }
    }

    /// Enlarges the share of a body to `held` bytes; returns whether there is room. Without, nothing changes.
    pub fn grow(&mut self, share: &mut Share, held: usize) -> bool {
        let small = held.min(SMALL_BYTES).max(share.small);
        let large = held.saturating_sub(SMALL_BYTES).max(share.large);
        let left = (
            self.small_left.checked_sub(small - share.small),
            self.large_left.checked_sub(large - share.large),
        );
        let (Some(small_left), Some(large_left)) = left else {
            return false;
        };
        *self = Self { small_left, large_left };
        *share = Share { small, large };
        true
    }

    /// Takes back what a body has used.
    pub fn release(&mut self, share: Share) {
        self.small_left += share.small;
        self.large_left += share.large;
    }
}
