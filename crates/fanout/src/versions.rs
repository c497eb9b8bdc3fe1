//! The last versions of a value that hosts pass on, and patches between them.
//!
//! A large value changes little from one version to the next, and hosts have slow links. A host that
//! asks for the newest version says which one it has; the answer holds only what differs from it.

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use std::{
    collections::{HashMap, VecDeque},
    io,
};
use vanetally_types::hash64;
use zstd::bulk::{Compressor, Decompressor};

/// The newest version of a value, as it goes over a link.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Patch {
    /// The version.
    pub version: u64,
    /// The version that the receiver has to have; none if the value is whole.
    pub base: Option<u64>,
    /// Bytes of the value.
    pub size: usize,
    /// Hash of the value.
    pub hash: u64,
    /// The value, compressed with the base as its dictionary.
    pub compressed: Bytes,
}

/// Why a patch can't be applied.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The receiver does not have the version that it rests on.
    #[error("version {0} is not known")]
    BaseUnknown(u64),
    /// It is larger than any value may be.
    #[error("{0} bytes are too many")]
    TooLarge(usize),
    /// It can't be unpacked.
    #[error("unpack: {0}")]
    Unpack(#[from] io::Error),
    /// What came out is not the value.
    #[error("the hash differs")]
    Differs,
}

/// What a host keeps of a value.
#[derive(Clone, Debug, Default)]
pub struct Versions {
    /// Newest last.
    kept: VecDeque<(u64, Bytes)>,
    /// Patches to the newest version, by their base: many hosts ask for the same.
    patches: HashMap<Option<u64>, Patch>,
}

/// Versions that are kept: who asks was up to date a moment ago.
const MOST_KEPT: usize = 4;
/// All kept versions together, in bytes; the newest one is kept whatever its size.
const MOST_BYTES: usize = 4 << 20;
/// Largest value that is unpacked, in bytes: the store holds a megabyte.
const MOST_SIZE: usize = 8 << 20;
/// Effort of the compression: the least that finds what two versions share over their whole length.
const LEVEL: i32 = 3;

impl Versions {
    /// The newest version, if any.
    pub fn newest(&self) -> Option<u64> {
        self.kept.back().map(|(version, _)| *version)
    }

    /// Bytes of the newest version, 0 if there is none.
    pub fn newest_bytes(&self) -> usize {
        self.kept.back().map_or(0, |(_, value)| value.len())
    }

    /// Whether `value` is the newest version, byte for byte: then it need not be read again.
    pub fn is_newest(&self, value: &[u8]) -> bool {
        self.kept.back().is_some_and(|(_, newest)| **newest == *value)
    }

    /// Keeps `value` if its version is higher than all before.
    pub fn insert(&mut self, version: u64, value: Bytes) {
        if self.newest().is_some_and(|newest| newest >= version) {
            return;
        }
        self.patches.clear();
        self.kept.push_back((version, value));
        let is_over = |kept: &VecDeque<(u64, Bytes)>| {
            kept.len() > MOST_KEPT || kept.iter().map(|(_, v)| v.len()).sum::<usize>() > MOST_BYTES
        };
        while self.kept.len() > 1 && is_over(&self.kept) {
            self.kept.pop_front();
        }
    }

    /// The newest version for a host that has the version `have`; none if there is nothing newer.
    ///
    /// # Errors
    /// If the value can't be compressed.
    pub fn try_patch(&mut self, have: Option<u64>) -> io::Result<Option<Patch>> {
        let Some((version, value)) = self.kept.back().cloned() else {
            return Ok(None);
        };
        if have.is_some_and(|have| have >= version) {
            return Ok(None);
        }
        let base = have.and_then(|have| Some((have, self.find(have)?)));
        let number = base.as_ref().map(|(number, _)| *number);
        if let Some(patch) = self.patches.get(&number) {
            return Ok(Some(patch.clone()));
        }
        let dictionary = base.as_ref().map_or(&[][..], |(_, bytes)| bytes);
        let compressed = Compressor::with_dictionary(LEVEL, dictionary)?.compress(&value)?.into();
        let (size, hash) = (value.len(), hash64(&value));
        let patch = Patch { version, base: number, size, hash, compressed };
        self.patches.insert(number, patch.clone());
        Ok(Some(patch))
    }

    /// The value that `patch` stands for.
    ///
    /// # Errors
    /// If its base is not kept here, or what comes out is not the value.
    pub fn try_apply(&self, patch: &Patch) -> Result<Bytes, Error> {
        if patch.size > MOST_SIZE {
            return Err(Error::TooLarge(patch.size));
        }
        let base = match patch.base {
            Some(number) => Some(self.find(number).ok_or(Error::BaseUnknown(number))?),
            None => None,
        };
        let dictionary = base.as_deref().unwrap_or_default();
        let value =
            Decompressor::with_dictionary(dictionary)?.decompress(&patch.compressed, patch.size)?;
        if hash64(&value) != patch.hash {
            return Err(Error::Differs);
        }
        Ok(value.into())
    }

    fn find(&self, version: u64) -> Option<Bytes> {
        self.kept.iter().find(|(kept, _)| *kept == version).map(|(_, value)| value.clone())
    }
}
