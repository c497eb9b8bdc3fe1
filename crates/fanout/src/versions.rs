//! The latest versions of a value that hosts forward, and patches between them.
//!
//! A large value changes little from one version to the next, and hosts have slow links. A host that
//! requests the newest version states the one it has, and the response holds only the difference.

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use std::{
    collections::{HashMap, VecDeque},
    io,
};
use vanetally_types::hash64;
use zstd::bulk::{Compressor, Decompressor};

/// The newest version of a value as sent to another host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Patch {
    /// The version.
    pub version: u64,
    /// The version that the receiver must have; `None` if the patch holds the whole value.
    pub base: Option<u64>,
    /// Size of the value in bytes.
    pub size: usize,
    /// Hash of the value.
    pub hash: u64,
    /// The value, compressed with the base version as dictionary.
    pub compressed: Bytes,
}

/// Why a patch cannot be applied.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The receiver does not have the base version.
    #[error("base version {0} is not available")]
    BaseUnknown(u64),
    /// The value is over the size limit.
    #[error("value of {0} bytes is over the size limit")]
    TooLarge(usize),
    /// The value cannot be decompressed.
    #[error("decompression failed: {0}")]
    Unpack(#[from] io::Error),
    /// The hash of the decompressed value differs from the stated one.
    #[error("hash of the value differs from the stated hash")]
    HashMismatch,
}

/// The latest versions of a value that a host keeps.
#[derive(Clone, Debug, Default)]
pub struct Versions {
    /// Version numbers and values, newest last.
    kept: VecDeque<(u64, Bytes)>,
    /// Patches to the newest version by base version, cached since many hosts request the same one.
    patches: HashMap<Option<u64>, Patch>,
}

/// Maximum number of versions kept. Few suffice: a host that requests a patch was up to date shortly before.
const MAX_KEPT: usize = 4;
/// Maximum size of all kept versions together; the newest one is kept whatever its size.
const MAX_KEPT_BYTES: usize = 4 << 20;
/// Maximum size of an unpacked value; the store holds a megabyte.
const MAX_UNPACKED_BYTES: usize = 8 << 20;
/// Compression level: the lowest that finds what two versions have in common over their whole length.
const LEVEL: i32 = 3;

impl Versions {
    /// Returns the number of the newest version, if any.
    pub fn newest(&self) -> Option<u64> {
        self.kept.back().map(|(version, _)| *version)
    }

    /// Returns the size of the newest version in bytes, 0 if there is none.
    pub fn newest_bytes(&self) -> usize {
        self.kept.back().map_or(0, |(_, value)| value.len())
    }

    /// Whether `value` equals the newest version byte for byte, so that it need not be read again.
    pub fn is_newest(&self, value: &[u8]) -> bool {
        self.kept.back().is_some_and(|(_, newest)| **newest == *value)
    }

    /// Adds `value` if its version is higher than all versions kept.
    pub fn insert(&mut self, version: u64, value: Bytes) {
        if self.newest().is_some_and(|newest| newest >= version) {
            return;
        }
        self.patches.clear();
        self.kept.push_back((version, value));
        let is_over_limit = |kept: &VecDeque<(u64, Bytes)>| {
            kept.len() > MAX_KEPT
                || kept.iter().map(|(_, v)| v.len()).sum::<usize>() > MAX_KEPT_BYTES
        };
        while self.kept.len() > 1 && is_over_limit(&self.kept) {
            self.kept.pop_front();
        }
    }

    /// Returns a patch to the newest version for a host that has the version `have`; `None` if that is the newest.
    ///
    /// # Errors
    /// Fails if the value cannot be compressed.
    pub fn try_patch(&mut self, have: Option<u64>) -> io::Result<Option<Patch>> {
        let Some((version, value)) = self.kept.back().cloned() else {
            return Ok(None);
        };
        if have.is_some_and(|have| have >= version) {
            return Ok(None);
        }
        let base = have.and_then(|have| Some((have, self.find(have)?)));
        let base_version = base.as_ref().map(|(base_version, _)| *base_version);
        if let Some(patch) = self.patches.get(&base_version) {
            return Ok(Some(patch.clone()));
        }
        let dictionary = base.as_ref().map_or(&[][..], |(_, bytes)| bytes);
        let compressed = Compressor::with_dictionary(LEVEL, dictionary)?.compress(&value)?.into();
        let (size, hash) = (value.len(), hash64(&value));
        let patch = Patch { version, base: base_version, size, hash, compressed };
        self.patches.insert(base_version, patch.clone());
        Ok(Some(patch))
    }

    /// Returns the value that results from `patch`.
    ///
    /// # Errors
    /// Fails if the base version is not kept here, or if the patch is too large or corrupt.
    pub fn try_apply(&self, patch: &Patch) -> Result<Bytes, Error> {
        if patch.size > MAX_UNPACKED_BYTES {
            return Err(Error::TooLarge(patch.size));
        }
        let base = match patch.base {
            Some(version) => Some(self.find(version).ok_or(Error::BaseUnknown(version))?),
            None => None,
        };
        let dictionary = base.as_deref().unwrap_or_default();
        let value =
            Decompressor::with_dictionary(dictionary)?.decompress(&patch.compressed, patch.size)?;
        if hash64(&value) != patch.hash {
            return Err(Error::HashMismatch);
        }
        Ok(value.into())
    }

    fn find(&self, version: u64) -> Option<Bytes> {
        self.kept.iter().find(|(kept, _)| *kept == version).map(|(_, value)| value.clone())
    }
}
