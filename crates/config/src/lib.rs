//! What is configured: the settings of one process and the operators' catalog.
//!
//! Both are JSON with comments. Settings come from a file beside the process; the catalog is
//! written through the command-line tool and kept by the platform's key-value service.
#![deny(missing_docs, unsafe_code)]

/// The operators' configuration: what is declared and the selectors over it.
pub mod catalog;
/// Checks that a catalog is sound.
pub mod check;
/// The difference between two catalogs.
pub mod diff;
/// Reading JSON with comments, with errors that name file, line and key.
pub mod jsonc;
/// Putting a new catalog in place of the present one.
pub mod publish;
/// The settings of one process.
pub mod settings;
/// Which revision of the catalog a process follows.
pub mod tracker;
/// Durations and sizes with their units.
pub mod unit;

pub use catalog::{Catalog, Revision};
pub use settings::Settings;
pub use tracker::RevisionTracker;
pub use unit::{Millis, Size};
