//! Ports of the gateway: the protocols and formats of a deployment as traits and typed messages.
//!
//! An adapter implements the traits by translating between these types and the deployment's wire formats. It makes
//! no decisions, keeps no state and does no I/O.
#![deny(missing_docs, unsafe_code)]

/// Requests of callers and refusals.
pub mod caller;
/// Routes, services and limits as configured by operators.
pub mod configuration;
/// Reports from runners and orders to them.
pub mod engine;
/// Operators' requests to evacuate failure domains.
pub mod evacuation;
/// Organisations, their callers' keys and their quotas.
pub mod organisation;
/// Revisions and eras of the store.
pub mod revision;
/// The key-value store of the deployment.
pub mod store;
/// Fencing tokens of orders.
pub mod token;
/// Announcements of upstreams: runners and plain services.
pub mod upstream;

pub use caller::{CallerProtocol, CallerRequest, ModelRef, PromptPart, Refusal, RefusalCause};
pub use configuration::{
    CallerLimits, ColdStart, Configuration, ConfigurationFormat, EngineSpec, ModelSpec,
    RequestKind, Route, Service, Target,
};
pub use engine::{
    AnswerKind, AttemptHead, EngineProtocol, Operation, Order, OrderOutcome, Report, Stated,
    Statement, Subject,
};
pub use evacuation::EvacuationFormat;
pub use organisation::{CallerKey, Credential, Organisation, Origin, Quota, QuotaUnit};
pub use revision::{Era, Revision};
pub use store::{
    Change, Expectation, Freshness, Item, LeaseId, Page, StoreAnswer, StoreProtocol, Transaction,
    WatchAnswer, Write,
};
pub use token::{FencingToken, TokenError};
pub use upstream::{
    Announcement, AnnouncementError, HeldModel, Software, UpstreamFormat, UpstreamState,
};

/// Why external input could not be parsed.
#[derive(Debug, thiserror::Error, PartialEq, Eq)]
#[error("{subject}: {message}")]
pub struct FormatError {
    /// What was being parsed.
    pub subject: &'static str,
    /// Description of the fault.
    pub message: String,
}

impl FormatError {
    /// Creates an error about `subject`.
    pub fn new(subject: &'static str, message: impl std::fmt::Display) -> Self {
        Self { subject, message: message.to_string() }
    }
}

/// Why a request could not be built. It must not be sent in another form.
#[derive(Debug, thiserror::Error, PartialEq, Eq)]
#[error("{part}: {message}")]
pub struct RequestError {
    /// The part that can't stand in its place.
    pub part: &'static str,
    /// Description of the fault.
    pub message: String,
}

impl RequestError {
    /// Creates an error about `part`.
    pub fn new(part: &'static str, message: impl std::fmt::Display) -> Self {
        Self { part, message: message.to_string() }
    }
}

/// A request, or why it could not be built.
pub type Built<T = http::Request<bytes::Bytes>> = Result<T, RequestError>;

/// The protocols and formats of a deployment.
#[derive(Clone)]
pub struct Ports {
    /// Format of the configuration in the store.
    pub configuration: std::rc::Rc<dyn ConfigurationFormat>,
    /// Format of the evacuation keys in the store.
    pub evacuations: std::rc::Rc<dyn EvacuationFormat>,
    /// Format of the announcements of upstreams.
    pub upstreams: std::rc::Rc<dyn UpstreamFormat>,
    /// Protocol of engines and services.
    pub engine: std::rc::Rc<dyn EngineProtocol>,
    /// Protocol of callers.
    pub caller: std::rc::Rc<dyn CallerProtocol>,
    /// Protocol of the store.
    pub store: std::rc::Rc<dyn StoreProtocol>,
}
