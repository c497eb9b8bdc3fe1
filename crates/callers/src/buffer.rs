//! Buffer of a body that arrives in pieces.
//!
//! A small body is held on the heap. A larger one gets a memory map of its own, of which only what has arrived takes
//! memory: it is never copied to grow, and its memory returns to the system as soon as it is dropped.

use bytes::Bytes;
use memmap2::MmapMut;
use std::io;

/// Smallest buffer on the heap.
const MIN_HEAP_BYTES: usize = 1 << 10;
/// Largest buffer on the heap.
const MAX_HEAP_BYTES: usize = 16 << 10;
/// Steps in which a memory map counts as held.
const STEP_BYTES: usize = 16 << 10;

/// The bytes of a body that have arrived.
pub(crate) struct BodyBuffer {
    content: Content,
    /// Maximum length of the body.
    max: usize,
}

enum Content {
    Heap(Vec<u8>),
    Map(Map),
}

struct Map {
    map: MmapMut,
    length: usize,
}

impl AsRef<[u8]> for Map {
    fn as_ref(&self) -> &[u8] {
        &self.map[..self.length]
    }
}

impl BodyBuffer {
    /// Creates the buffer of a body of at most `max` bytes.
    pub(crate) fn new(max: usize) -> Self {
        Self { content: Content::Heap(Vec::new()), max }
    }

    /// Number of bytes that have arrived.
    pub(crate) fn len(&self) -> usize {
        match &self.content {
            Content::Heap(bytes) => bytes.len(),
            Content::Map(map) => map.length,
        }
    }

    /// Number of bytes of memory that the buffer takes.
    pub(crate) fn held(&self) -> usize {
        match &self.content {
            Content::Heap(bytes) => bytes.capacity(),
            Content::Map(map) => map.length.next_multiple_of(STEP_BYTES),
        }
    }

    /// Number of bytes of memory that the buffer takes with `more` bytes.
    pub(crate) fn held_with(&self, more: usize) -> usize {
        let length = self.len() + more;
        match &self.content {
            Content::Heap(bytes) if length <= bytes.capacity() => bytes.capacity(),
            Content::Heap(bytes) if length <= MAX_HEAP_BYTES => {
                let max = self.max.min(MAX_HEAP_BYTES);
                (2 * bytes.capacity()).max(MIN_HEAP_BYTES).min(max).max(length)
            }
            Content::Heap(_) | Content::Map(_) => length.next_multiple_of(STEP_BYTES),
        }
    }

    /// Adds bytes.
    ///
    /// # Errors
    /// If the system gives no memory map.
    pub(crate) fn extend(&mut self, bytes: &[u8]) -> io::Result<()> {
        let (held, length) = (self.held_with(bytes.len()), self.len() + bytes.len());
        if let Content::Heap(heap) = &mut self.content {
            if length <= MAX_HEAP_BYTES {
                heap.reserve_exact(held.saturating_sub(heap.len()));
                heap.extend_from_slice(bytes);
                return Ok(());
            }
            let mut map = MmapMut::map_anon(self.max.max(length))?;
            map[..heap.len()].copy_from_slice(heap);
            self.content = Content::Map(Map { map, length: heap.len() });
        }
        if let Content::Map(map) = &mut self.content {
            map.map[map.length..length].copy_from_slice(bytes);
            map.length = length;
        }
        Ok(())
    }

    /// Returns the bytes that have arrived.
    pub(crate) fn into_bytes(self) -> Bytes {
        match self.content {
            Content::Heap(bytes) => bytes.into(),
            Content::Map(map) => Bytes::from_owner(map),
        }
    }
}
