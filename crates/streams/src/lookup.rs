//! The search for the beginning of a stream that a caller takes up.

use crate::Versions;
use serde::{Deserialize, Serialize};
use vanetally_ports::Software;
use vanetally_types::Name;

/// What a host says of a stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Answer {
    /// It was begun at this version of this service.
    #[serde(rename = "b")]
    Began(Name, Name),
    /// The host does not keep it; the versions that the service has had, if the host knows.
    #[serde(rename = "u")]
    Unknown(Option<Versions>),
}

/// From where the software is known that began a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FoundBy {
    /// This host began the stream, or keeps its beginning.
    Own,
    /// Another host keeps its beginning.
    Host,
    /// Its service has never had another version.
    OnlyVersion,
}

impl FoundBy {
    /// Returns the name used in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Own => "own",
            Self::Host => "host",
            Self::OnlyVersion => "only_version",
        }
    }
}

/// The software that began a stream, and from where that is known.
pub type Finding = (Software, FoundBy);

/// Why the software that began a stream is unknown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unknown {
    /// All hosts that were asked answered, and the service has had several versions.
    Lost,
    /// Hosts did not answer, or have not read enough yet.
    NotYet,
}

/// A question to several hosts that has not been decided.
#[derive(Clone, Debug)]
pub struct Lookup {
    /// Hosts that have not answered.
    awaited: usize,
    /// The service that began the stream; `None` if it may have been one of several.
    service: Option<Name>,
    /// The versions that the service has had, as far as this host and those that answered know.
    versions: Option<Versions>,
    /// Whether a host other than this one knows them, unless there is none.
    is_confirmed: bool,
}

impl Lookup {
    /// Creates a question to `asked` hosts. `versions` is what this host knows of the versions of `service`.
    pub fn new(asked: usize, service: Option<Name>, versions: Option<Versions>) -> Self {
        Self { awaited: asked, service, versions, is_confirmed: asked == 0 }
    }

    /// Whether an answer may still come.
    pub fn is_open(&self) -> bool {
        self.awaited > 0
    }

    /// Whether another host knows the versions of the service, or there is none to ask.
    pub fn is_confirmed(&self) -> bool {
        self.is_confirmed
    }

    /// Takes the answer of a host; returns the software that began the stream if the answer tells.
    pub fn answered(&mut self, answer: Answer) -> Option<Finding> {
        self.awaited = self.awaited.saturating_sub(1);
        match answer {
            Answer::Began(service, version) => {
                self.awaited = 0;
                return Some((Software { service, version }, FoundBy::Host));
            }
            Answer::Unknown(Some(versions)) => {
                self.is_confirmed = true;
                self.versions = Some(match self.versions.take() {
                    Some(known) => known.join(versions),
                    None => versions,
                });
            }
            // A host that has just started has no say.
            Answer::Unknown(None) => {}
        }
        None
    }

    /// Returns what follows if no host keeps the stream. A host that hears of no other may have missed a version.
    ///
    /// # Errors
    /// If it is unknown which software began it.
    pub fn unanswered(self) -> Result<Finding, Unknown> {
        let is_answered = self.awaited == 0;
        match (self.service, self.versions) {
            (Some(service), Some(Versions::One(version))) if self.is_confirmed => {
                Ok((Software { service, version }, FoundBy::OnlyVersion))
            }
            (None, _) | (_, Some(Versions::Several)) if is_answered => Err(Unknown::Lost),
            _ => Err(Unknown::NotYet),
        }
    }
}
