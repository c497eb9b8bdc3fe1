//! The borders of the product: what it needs of a deployment, as typed messages and traits.
//!
//! An adapter implements the traits by pure translation between these types and the bytes that the
//! deployment speaks. It takes no decision, keeps no state and does no I/O.
#![deny(missing_docs, unsafe_code)]

/// What callers send and what they are told.
pub mod caller;
/// Routes, services and limits, as operators configure them.
pub mod configuration;
/// Reports of runners and orders to them.
pub mod engine;
/// Organisations, the keys that their callers bear, and how much they may ask for.
pub mod organisation;
/// The order of what lies in the store.
pub mod revision;
/// The key-value store of the deployment.
pub mod store;
/// Fencing tokens of orders.
pub mod token;
/// Runners and plain services that requests are sent to.
pub mod upstream;

pub use caller::{CallerProtocol, CallerRequest, ModelRef, PromptPart, Refusal, RefusalCause};
pub use configuration::{
    CallerLimits, Configuration, ConfigurationFormat, EngineSpec, ModelSpec, RequestKind, Route,
    Service, Target,
};
pub use engine::{
    AnswerKind, AttemptHead, EngineProtocol, Operation, Order, OrderOutcome, Report, Stated,
    Statement, Subject,
};
pub use organisation::{CallerKey, Credential, Organisation, Origin, Quota, QuotaUnit};
pub use revision::{Era, Revision};
pub use store::{
    Change, Expectation, Freshness, Item, LeaseId, Page, StoreAnswer, StoreProtocol, Transaction,
    WatchAnswer, Write,
};
pub use token::{FencingToken, TokenError};
pub use upstream::{Announcement, AnnouncementError, HeldModel, UpstreamFormat, UpstreamState};

/// Why bytes from outside could not be understood.
#[derive(Debug, thiserror::Error, PartialEq, Eq)]
#[error("{subject}: {message}")]
pub struct FormatError {
    /// What was being read.
    pub subject: &'static str,
    /// What is wrong with it.
    pub message: String,
}

impl FormatError {
    /// An error about `subject`.
    pub fn new(subject: &'static str, message: impl std::fmt::Display) -> Self {
        Self { subject, message: message.to_string() }
    }
}

/// All translations that a deployment brings.
#[derive(Clone)]
pub struct Ports {
    /// The form of the configuration.
    pub configuration: std::rc::Rc<dyn ConfigurationFormat>,
    /// The form in which upstreams announce themselves.
    pub upstreams: std::rc::Rc<dyn UpstreamFormat>,
    /// What engines and services speak.
    pub engine: std::rc::Rc<dyn EngineProtocol>,
    /// What callers speak.
    pub caller: std::rc::Rc<dyn CallerProtocol>,
    /// What the store speaks.
    pub store: std::rc::Rc<dyn StoreProtocol>,
}
