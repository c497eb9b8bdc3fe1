//! Compression of large messages between hosts.

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use std::io;
use zstd::bulk;

/// A compressed byte string.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Packed {
    /// Number of bytes before compression.
    size: usize,
    compressed: Bytes,
}

/// Compression level. The keys of a thousand upstreams are so similar that the lowest level suffices, and a host that
/// forwards them to many others may have a tenth of a processor and 20 Mbit/s.
const LEVEL: i32 = 1;
/// Maximum size of an unpacked value: the keys of about ten thousand upstreams.
const MAX_UNPACKED_BYTES: usize = 16 << 20;

impl Packed {
    /// Compresses `bytes`.
    ///
    /// # Errors
    /// Fails if the compressor fails.
    pub fn try_from_bytes(bytes: &[u8]) -> io::Result<Self> {
        let compressed = bulk::compress(bytes, LEVEL)?.into();
        Ok(Self { size: bytes.len(), compressed })
    }

    /// Returns the original bytes.
    ///
    /// # Errors
    /// Fails if the stated size is over the limit or differs from the unpacked size, or if the data is corrupt.
    pub fn try_unpack(&self) -> io::Result<Vec<u8>> {
        if self.size > MAX_UNPACKED_BYTES {
            return Err(io::Error::new(
                io::ErrorKind::InvalidData,
                "stated size is over the limit",
            ));
        }
        let bytes = bulk::decompress(&self.compressed, self.size)?;
        if bytes.len() != self.size {
            return Err(io::Error::new(
                io::ErrorKind::InvalidData,
                "unpacked size differs from the stated size",
            ));
        }
        Ok(bytes)
    }

    /// Returns the compressed size in bytes.
    pub fn packed_len(&self) -> usize {
        self.compressed.len()
    }
}
