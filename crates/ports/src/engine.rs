//! Reports from runners and orders to them.

use crate::{Built, FencingToken, FormatError, Origin, upstream::HeldModel};
use vanetally_types::{Incarnation, Name};

/// The model or adapter that an order applies to.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Subject {
    /// Name of the model.
    pub model: Name,
    /// Name of an adapter of the model; `None` for the model's weights.
    pub adapter: Option<Name>,
}

/// What an order makes a runner do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Operation {
    /// Load the subject.
    Load,
    /// Unload the subject.
    Unload,
}

impl Operation {
    /// Returns the name used in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Load => "load",
            Self::Unload => "unload",
        }
    }
}

/// An order to one runner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// Incarnation of the runner.
    pub runner: Incarnation,
    /// Operation to carry out.
    pub operation: Operation,
    /// Model or adapter to load or unload.
    pub subject: Subject,
    /// Number of orders that the runner must have taken before this one.
    pub orders_before: u64,
    /// Name of the host that holds the order lease.
    pub holder: Name,
    /// Fencing token of the order lease.
    pub token: FencingToken,
}

/// Result of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The runner is carrying out the order.
    Accepted,
    /// The runner already holds the subject.
    AlreadyDone,
    /// Another order is in progress, or the number of orders taken differs from the expected one.
    Conflict,
    /// The runner has seen a higher fencing token.
    Fenced,
    /// Another incarnation answered.
    WrongRunner,
    /// The runner rejected the order as invalid.
    Invalid,
    /// No conclusive answer: the runner may have taken the order or may still take it.
    Unknown,
    /// The order was not sent.
    NotSent,
}

impl OrderOutcome {
    /// Returns the name used in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Accepted => "accepted",
            Self::AlreadyDone => "already",
            Self::Conflict => "conflict",
            Self::Fenced => "fenced",
            Self::WrongRunner => "wrong_runner",
            Self::Invalid => "invalid",
            Self::Unknown => "unknown",
            Self::NotSent => "not_sent",
        }
    }
}

/// State that a runner reports on request.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Report {
    /// Start time of the reporting incarnation in Unix milliseconds, if reported.
    pub born: Option<u64>,
    /// Loaded models with their adapters.
    pub models: Vec<HeldModel>,
    /// Adapters that are being loaded.
    pub coming: Vec<Subject>,
    /// Whether an order is in progress.
    pub busy: bool,
    /// Number of orders taken.
    pub orders_taken: u64,
    /// Number of requests in the runner's queue.
    pub waiting: u32,
    /// Number of running requests.
    pub running: u32,
    /// Models with a local copy in the runner's memory or on its disk.
    pub at_hand: Vec<Name>,
}

/// Header values that the gateway sets on an attempt, in addition to the caller's headers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AttemptHead {
    /// Incarnation that has to answer.
    pub instance: Incarnation,
    /// Milliseconds until the deadline.
    pub deadline_ms: u64,
    /// Id of the last received event, after which a broken stream resumes.
    pub resume_after: Option<Name>,
    /// On whose behalf the request is sent.
    pub origin: Origin,
}

/// Classification of an answer by its head.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerKind {
    /// A success with the upstream's signature.
    Success,
    /// A success without the upstream's signature, which must not be relayed.
    Unsigned,
    /// The request ran and failed.
    Failure,
    /// A status by which callers are promised that the request has not run, without proof that it has not, or a mark that it
    /// has not run beside a status that says otherwise. It must not be relayed.
    Unproven,
    /// The request did not run: the upstream has no capacity.
    Full,
    /// The request did not run: the upstream does not have the requested model or adapter.
    Absent,
    /// The request did not run: another incarnation answered.
    Replaced,
    /// The answer belongs to a different request.
    Foreign,
}

impl AnswerKind {
    /// Whether the answer comes from the addressed incarnation and belongs to the request.
    pub fn is_authentic(self) -> bool {
        !matches!(self, Self::Replaced | Self::Foreign | Self::Unsigned)
    }
}

/// A value that an upstream may state in the head of an answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Stated<T> {
    /// No value is stated.
    Absent,
    /// The stated value.
    Value(T),
    /// A value is stated but malformed, and must be ignored.
    Unreadable,
}

/// What an upstream states about itself in the head of an answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Statement {
    /// Rate limit over all hosts together, in requests per second; zero or more.
    pub limit: Stated<f64>,
    /// Rejections for lack of room in a second that the upstream survives; stated if it is brittle.
    pub brittle: Stated<u32>,
    /// Set if the upstream is leaving and accepts no new requests.
    pub leaving: Stated<()>,
    /// Time for which the sending host must not send to the upstream again; stated when the upstream turns a request
    /// away.
    pub cooldown_ms: Stated<u64>,
}

/// Protocol of engines and services.
pub trait EngineProtocol {
    /// Returns the headers that only the gateway may set; those sent by callers are removed.
    fn reserved_headers(&self) -> &[http::HeaderName];

    /// Sets the headers of `attempt` in addition to the caller's headers.
    fn prepare(&self, headers: &mut http::HeaderMap, attempt: &AttemptHead) -> Built<()>;

    /// Classifies the head of the answer to the request `id`, which was sent to the incarnation `instance`.
    fn classify_answer(
        &self,
        head: &http::response::Parts,
        id: &Name,
        instance: &Incarnation,
    ) -> AnswerKind;

    /// Whether the answer names the request that it belongs to.
    fn names_request(&self, head: &http::response::Parts) -> bool;

    /// Parses what the upstream states about itself.
    fn read_statement(&self, head: &http::response::Parts) -> Statement;

    /// Returns the request that asks the incarnation `runner` for its report.
    fn report_request(&self, runner: &Incarnation) -> Built;

    /// Parses a report.
    ///
    /// # Errors
    /// If `body` is not a valid report.
    fn read_report(&self, body: &[u8]) -> Result<Report, FormatError>;

    /// Returns the request that sends `order` to its runner.
    fn order_request(&self, order: &Order) -> Built;

    /// Classifies the answer to an order.
    fn classify_order(&self, status: http::StatusCode) -> OrderOutcome;
}
