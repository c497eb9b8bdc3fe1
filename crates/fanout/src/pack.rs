//! Large messages between hosts, compressed.

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use std::io;
use zstd::bulk;

/// Bytes that were compressed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Packed {
    /// How many they are.
    size: usize,
    compressed: Bytes,
}

/// Effort of the compression: keys of a thousand upstreams are much alike, and hosts that pass them on to
/// many others may have a tenth of a processor and 20 Mbit/s.
const LEVEL: i32 = 1;
/// Largest value that is unpacked, in bytes: the keys of some ten thousand upstreams.
const MOST_SIZE: usize = 16 << 20;

impl Packed {
    /// Compresses `bytes`.
    ///
    /// # Errors
    /// If they can't be compressed.
    pub fn try_from_bytes(bytes: &[u8]) -> io::Result<Self> {
        let compressed = bulk::compress(bytes, LEVEL)?.into();
        Ok(Self { size: bytes.len(), compressed })
    }

    /// The bytes as they were.
    ///
    /// # Errors
    /// If they are too many, or something else came out.
    pub fn try_unpack(&self) -> io::Result<Vec<u8>> {
        if self.size > MOST_SIZE {
            return Err(io::Error::new(io::ErrorKind::InvalidData, "too many bytes"));
        }
        let bytes = bulk::decompress(&self.compressed, self.size)?;
        if bytes.len() != self.size {
            return Err(io::Error::new(io::ErrorKind::InvalidData, "the size differs"));
        }
        Ok(bytes)
    }

    /// Bytes after the compression.
    pub fn packed_len(&self) -> usize {
        self.compressed.len()
    }
}
