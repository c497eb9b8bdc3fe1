//! The stored record of a slot, and the identifiers in it.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use vanetally_types::{HostId, hash64, hash128};

/// Identifies a request: the hash of its caller and the key that the caller gave.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Id(pub u128);

impl Id {
    /// Returns the id of the request with `key` by `caller`.
    pub fn from_key(caller: &str, key: &str) -> Self {
        Self(hash128(format!("{caller}\n{key}").as_bytes()))
    }
}

/// Returns which of `slots` slots decides on `id`.
pub fn slot_of(id: Id, slots: u16) -> u16 {
    let spread = hash64(&id.0.to_le_bytes()) % u64::from(slots.max(1));
    spread as u16
}

/// Identifies one attempt of an entry host to have a request granted.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Ticket {
    /// The entry host.
    pub entry: HostId,
    /// Unique among the attempts of that entry host.
    pub number: u64,
}

/// An answer kept for repeated requests.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, PartialOrd, Ord)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Content type.
    #[serde(rename = "kind")]
    pub content_type: String,
    /// Hash of the answered request, to detect a different request under the same id.
    pub fingerprint: u64,
    /// Body as sent to the first caller.
    #[serde(with = "body")]
    pub body: Vec<u8>,
}

/// Serializes bodies as byte strings rather than lists of numbers.
mod body {
    use serde::{Deserializer, Serializer, de};

    pub fn serialize<S: Serializer>(body: &[u8], s: S) -> Result<S::Ok, S::Error> {
        s.serialize_bytes(body)
    }

    pub fn deserialize<'de, D: Deserializer<'de>>(d: D) -> Result<Vec<u8>, D::Error> {
        d.deserialize_byte_buf(Visitor)
    }

    struct Visitor;

    impl<'de> de::Visitor<'de> for Visitor {
        type Value = Vec<u8>;

        fn expecting(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
            f.write_str("bytes")
        }

        fn visit_bytes<E: de::Error>(self, bytes: &[u8]) -> Result<Vec<u8>, E> {
            Ok(bytes.to_vec())
        }

        fn visit_byte_buf<E: de::Error>(self, bytes: Vec<u8>) -> Result<Vec<u8>, E> {
            Ok(bytes)
        }

        fn visit_seq<A: de::SeqAccess<'de>>(self, mut seq: A) -> Result<Vec<u8>, A::Error> {
            let mut bytes = Vec::new();
            while let Some(byte) = seq.next_element()? {
                bytes.push(byte);
            }
            Ok(bytes)
        }
    }
}

/// The record of a slot in the platform's service.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, PartialOrd, Ord)]
pub struct Record {
    /// Incremented with each change of holder.
    pub epoch: u64,
    /// The host that grants ids.
    pub holder: HostId,
    /// The host whose promise the holder needs before it grants from memory.
    #[serde(rename = "deputy")]
    pub backup: Option<HostId>,
    /// Increases with each write; together with the holder it identifies a write.
    pub seq: u64,
    /// Ids that may have been granted, with their deadlines in Unix milliseconds.
    #[serde(with = "ids")]
    pub claims: BTreeMap<Id, u64>,
    /// Ids with deadlines up to this one may have been dropped from `claims`.
    #[serde(rename = "forgotten")]
    pub expired_until: u64,
    /// Earlier holders that may have granted ids that are recorded nowhere. `Some` if that holder
    /// has ended: it can't have granted an id with a later deadline.
    #[serde(rename = "doubts", with = "pairs")]
    pub unresolved: BTreeMap<HostId, Option<u64>>,
}

/// Serializes ids as hexadecimal text, since JSON has no 128-bit numbers.
mod ids {
    use super::{BTreeMap, Deserialize, Id};
    use serde::{Deserializer, Serializer, de::Error};

    pub fn serialize<S: Serializer>(ids: &BTreeMap<Id, u64>, s: S) -> Result<S::Ok, S::Error> {
        s.collect_map(ids.iter().map(|(id, deadline)| (format!("{:032x}", id.0), deadline)))
    }

    pub fn deserialize<'de, D: Deserializer<'de>>(d: D) -> Result<BTreeMap<Id, u64>, D::Error> {
        let texts = BTreeMap::<String, u64>::deserialize(d)?;
        let parse = |(text, deadline): (String, u64)| {
            let id = u128::from_str_radix(&text, 16).map_err(D::Error::custom)?;
            Ok((Id(id), deadline))
        };
        texts.into_iter().map(parse).collect()
    }
}

/// Serializes maps with structured keys as lists of pairs.
mod pairs {
    use super::{BTreeMap, Deserialize, HostId};
    use serde::{Deserializer, Serializer};

    type UnresolvedHolders = BTreeMap<HostId, Option<u64>>;

    pub fn serialize<S: Serializer>(
        unresolved: &UnresolvedHolders,
        s: S,
    ) -> Result<S::Ok, S::Error> {
        s.collect_seq(unresolved)
    }

    pub fn deserialize<'de, D: Deserializer<'de>>(d: D) -> Result<UnresolvedHolders, D::Error> {
        let pairs = Vec::<(HostId, Option<u64>)>::deserialize(d)?;
        Ok(pairs.into_iter().collect())
    }
}

/// A record with the version that the platform gave it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct VersionedRecord {
    /// The platform's version, for compare-and-swap.
    pub version: u64,
    /// The record.
    pub record: Record,
}
