//! Configuration: the settings of one process and the operators' catalog.
//!
//! Both are JSON with comments. Settings are read from a local file; operators write the catalog
//! with the command-line tool, and the platform's key-value service stores it.
#![deny(missing_docs, unsafe_code)]

/// The operators' catalog: declared objects and the rules over them.
pub mod catalog;
/// Validation of a catalog.
pub mod check;
/// Differences between two catalogs.
pub mod diff;
/// Deserialization of JSON with comments; errors name file, line and key.
pub mod jsonc;
/// Replacement of the stored catalog.
pub mod publish;
/// The settings of one process.
pub mod settings;
/// Selection of the catalog revision that a process follows.
pub mod tracker;
/// Durations and sizes with units.
pub mod unit;

pub use catalog::{Catalog, Revision};
pub use settings::Settings;
pub use tracker::RevisionTracker;
pub use unit::{Millis, Size};
