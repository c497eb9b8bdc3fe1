//! The software versions of services, as far as needed to tell whether there has ever been just one.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use vanetally_ports::Era;
use vanetally_types::Name;

/// The versions that a service has had.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "Stored", into = "Stored")]
pub enum Versions {
    /// This one only.
    One(Name),
    /// Several.
    Several,
}

impl Versions {
    /// Whether `version` is one of them, or may be.
    pub fn include(&self, version: &Name) -> bool {
        match self {
            Self::One(only) => only == version,
            Self::Several => true,
        }
    }

    /// Returns the versions of both.
    #[must_use]
    pub fn join(self, other: Self) -> Self {
        if self == other { self } else { Self::Several }
    }
}

/// What the store keeps of the versions of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The versions.
    #[serde(flatten)]
    pub versions: Versions,
    /// Era of the store in which they were written; earlier builds state none.
    #[serde(default)]
    era: u64,
}

impl Record {
    /// Creates the record to write in `era` where the store has a record or not. A store that was restored from a copy and
    /// has none may have lost it, with versions that nobody knows any more.
    pub fn new(versions: Versions, era: Era, has_record: bool) -> Self {
        let may_be_lost = !has_record && era != Era::default();
        let versions = if may_be_lost { Versions::Several } else { versions };
        Self { versions, era: era.0 }
    }

    /// Returns the versions as known in `era`. Those of an earlier one come from a copy that may be older than others.
    pub fn versions_in(&self, era: Era) -> Versions {
        if self.era < era.0 { Versions::Several } else { self.versions.clone() }
    }
}

/// Form of versions in the store and in messages.
#[derive(Serialize, Deserialize)]
struct Stored {
    /// The only version; none if there were several.
    only: Option<Name>,
}

impl From<Stored> for Versions {
    fn from(stored: Stored) -> Self {
        stored.only.map_or(Self::Several, Self::One)
    }
}

impl From<Versions> for Stored {
    fn from(versions: Versions) -> Self {
        let only = if let Versions::One(version) = versions { Some(version) } else { None };
        Self { only }
    }
}

/// The versions of all services, as seen by this host and as kept in the store. What was seen is never taken back.
#[derive(Clone, Debug, Default)]
pub struct KnownVersions {
    seen: BTreeMap<Name, Versions>,
    stored: BTreeMap<Name, Versions>,
}

/// Maximum number of services.
const MAX_SERVICES: usize = 1_024;

impl KnownVersions {
    /// Adds versions of a service; returns whether the store must be told.
    pub fn add(&mut self, service: &Name, versions: Versions) -> bool {
        if !self.seen.contains_key(service) && self.seen.len() >= MAX_SERVICES {
            return false;
        }
        let joined = match self.seen.get(service) {
            Some(seen) => seen.clone().join(versions),
            None => versions,
        };
        self.seen.insert(service.clone(), joined);
        self.unsaved(service).is_some()
    }

    /// Replaces what the store keeps of a service; `None` if it keeps nothing.
    pub fn set_stored(&mut self, service: &Name, versions: Option<Versions>) {
        match versions {
            Some(versions) => {
                self.add(service, versions.clone());
                if self.seen.contains_key(service) {
                    self.stored.insert(service.clone(), versions);
                }
            }
            None => drop(self.stored.remove(service)),
        }
    }

    /// Returns what the store keeps of a service.
    pub fn stored(&self, service: &Name) -> Option<&Versions> {
        self.stored.get(service)
    }

    /// Returns the services of which the store keeps versions.
    pub fn stored_services(&self) -> impl Iterator<Item = &Name> {
        self.stored.keys()
    }

    /// Forgets what the store keeps, before all of it is read again.
    pub fn clear_stored(&mut self) {
        self.stored.clear();
    }

    /// Returns the services of which the store does not keep what was seen.
    pub fn unsaved_services(&self) -> impl Iterator<Item = &Name> {
        self.seen.keys().filter(|service| self.unsaved(service).is_some())
    }

    /// Returns what the store is to keep of a service, unless it does.
    pub fn unsaved(&self, service: &Name) -> Option<&Versions> {
        let seen = self.seen.get(service)?;
        (self.stored.get(service) != Some(seen)).then_some(seen)
    }

    /// Returns the versions that a service has ever had. That there was only one is known once the store keeps it, as
    /// other hosts may have seen another one before.
    pub fn known(&self, service: &Name) -> Option<&Versions> {
        let seen = self.seen.get(service)?;
        let is_known = *seen == Versions::Several || self.stored.get(service) == Some(seen);
        is_known.then_some(seen)
    }
}
