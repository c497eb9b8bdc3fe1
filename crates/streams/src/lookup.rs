//! The search for the beginning of a stream that a caller takes up.

use serde::{Deserialize, Serialize};
use vanetally_ports::Software;
use vanetally_types::Name;

/// What a host says of a stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Answer {
    /// It was begun at this version of this service.
    #[serde(rename = "b")]
    Began(Name, Name),
    /// The host does not keep it; the only version that the service has ever had, if there is just one.
    #[serde(rename = "u")]
    Unknown(Option<Name>),
}

/// From where the software is known that began a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// This host began the stream, or keeps its beginning.
    Own,
    /// Another host keeps its beginning.
    Host,
    /// Its service has never had another version.
    OnlyVersion,
}

impl Source {
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
pub type Finding = (Software, Source);

/// A question to several hosts that has not been decided.
#[derive(Clone, Debug)]
pub struct Lookup {
    /// Hosts that have not answered.
    awaited: usize,
    is_answered: bool,
    /// The only version that the service has ever had, as far as this host and those that answered know.
    only: Option<Software>,
}

impl Lookup {
    /// Creates a question to `asked` hosts. `only` is the only software that may have begun the stream, if this host
    /// knows of just one.
    pub fn new(asked: usize, only: Option<Software>) -> Self {
        Self { awaited: asked, is_answered: asked == 0, only }
    }

    /// Whether an answer may still come.
    pub fn is_open(&self) -> bool {
        self.awaited > 0
    }

    /// Takes the answer of a host; returns the software that began the stream if the answer tells.
    pub fn answered(&mut self, answer: Answer) -> Option<Finding> {
        self.awaited = self.awaited.saturating_sub(1);
        self.is_answered = true;
        match answer {
            Answer::Began(service, version) => {
                self.awaited = 0;
                Some((Software { service, version }, Source::Host))
            }
            Answer::Unknown(only) => {
                self.only.take_if(|known| only.as_ref() != Some(&known.version));
                None
            }
        }
    }

    /// Returns what follows if no host keeps the stream. A host that hears of no other may have missed a version.
    pub fn unanswered(self) -> Option<Finding> {
        self.only.filter(|_| self.is_answered).map(|software| (software, Source::OnlyVersion))
    }
}
