//! Whether a request ran at an upstream.

use serde::{Deserialize, Serialize};

/// Whether a request ran at an upstream, ordered by how certain it is that it ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// The request did not run.
    NotRun,
    /// It is unknown whether the request ran.
    MayHaveRun,
    /// The request ran.
    Ran,
}

impl Verdict {
    /// Returns the name used in headers, logs and error objects.
    pub fn as_str(self) -> &'static str {
        match self {
            Verdict::NotRun => "not-run",
            Verdict::MayHaveRun => "may-have-run",
            Verdict::Ran => "ran",
        }
    }

    /// Parses a name returned by [`Verdict::as_str`].
    pub fn from_name(text: &str) -> Option<Self> {
        [Verdict::NotRun, Verdict::MayHaveRun, Verdict::Ran]
            .into_iter()
            .find(|verdict| verdict.as_str() == text)
    }
}

impl std::fmt::Display for Verdict {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(self.as_str())
    }
}
