//! Reports of runners and orders to them.

use crate::{FencingToken, FormatError, Origin, upstream::HeldModel};
use bytes::Bytes;
use vanetally_types::{Incarnation, Name};

/// What an order is about.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Subject {
    /// The model.
    pub model: Name,
    /// An adapter of it; none for the weights themselves.
    pub adapter: Option<Name>,
}

/// What a runner is told to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Operation {
    /// Hold it.
    Load,
    /// Hold it no more.
    Unload,
}

impl Operation {
    /// The word for logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Load => "load",
            Self::Unload => "unload",
        }
    }
}

/// One order to one runner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// The runner's incarnation.
    pub runner: Incarnation,
    /// What to do.
    pub operation: Operation,
    /// With what.
    pub subject: Subject,
    /// Orders that the runner has taken before this one.
    pub orders_before: u64,
    /// Name of the process that gives it.
    pub holder: Name,
    /// Its fencing token.
    pub token: FencingToken,
}

/// How a runner answered an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// It is being carried out.
    Accepted,
    /// The runner holds it already.
    AlreadyDone,
    /// Another order is under way, or the count differs.
    Conflict,
    /// A higher fencing token was seen.
    Fenced,
    /// Another incarnation answered.
    WrongRunner,
    /// The order makes no sense there.
    Invalid,
    /// No answer: it may have been taken, or may be taken later.
    Unknown,
    /// It was not sent.
    NotSent,
}

impl OrderOutcome {
    /// The word for logs and metrics.
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

/// What a runner says of itself when asked.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Report {
    /// Unix milliseconds of the start of the life that reports, if it says so.
    pub born: Option<u64>,
    /// Models with their adapters.
    pub models: Vec<HeldModel>,
    /// Adapters on their way.
    pub coming: Vec<Subject>,
    /// Whether an order is under way.
    pub busy: bool,
    /// Orders taken.
    pub orders_taken: u64,
    /// Requests that wait there.
    pub waiting: u32,
    /// Requests that run there.
    pub running: u32,
    /// Models of which it has a copy in its own memory or on its disk.
    pub at_hand: Vec<Name>,
}

/// What an attempt states beside the caller's own headers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AttemptHead {
    /// The incarnation that has to answer.
    pub instance: Incarnation,
    /// Milliseconds left.
    pub deadline_ms: u64,
    /// Where a broken stream goes on.
    pub resume_after: Option<Name>,
    /// On whose behalf it is sent.
    pub origin: Origin,
}

/// What the head of an upstream's answer says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerKind {
    /// A success that carries the upstream's signature.
    Success,
    /// A success that lacks it: not to be passed on.
    Unsigned,
    /// A failure of a request that ran.
    Failure,
    /// The request did not run: the upstream is full.
    Full,
    /// The request did not run: what it asks for isn't there.
    Absent,
    /// The request did not run: another incarnation answered.
    Replaced,
    /// The answer belongs to another request.
    Foreign,
}

impl AnswerKind {
    /// Whether the upstream that was asked speaks, and can be believed.
    pub fn is_authentic(self) -> bool {
        !matches!(self, Self::Replaced | Self::Foreign | Self::Unsigned)
    }
}

/// One thing that the head of an answer says of its upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Stated<T> {
    /// It says nothing of it.
    Nothing,
    /// It says this.
    Value(T),
    /// What it says can't be read: it asks for nothing.
    Unreadable,
}

/// What the head of an answer says of its upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Statement {
    /// How much it takes from all hosts together, in requests a second, zero or more.
    pub limit: Stated<f64>,
    /// That it leaves: it wants nothing new.
    pub leaving: Stated<()>,
    /// Where it turns the request away: how long it wants nothing from the host that sent it, in milliseconds.
    pub cooldown_ms: Stated<u64>,
}

/// What engines and services speak.
pub trait EngineProtocol {
    /// The headers by which the product itself speaks to engines: a caller's are not passed on.
    fn reserved_headers(&self) -> &[http::HeaderName];

    /// Sets what an attempt states beside the caller's own headers.
    fn prepare(&self, headers: &mut http::HeaderMap, attempt: &AttemptHead);

    /// Judges the head of the answer to the request `id`, sent to the incarnation `instance`.
    fn classify_answer(
        &self,
        head: &http::response::Parts,
        id: &Name,
        instance: &Incarnation,
    ) -> AnswerKind;

    /// Reads what the upstream says of itself.
    fn read_statement(&self, head: &http::response::Parts) -> Statement;

    /// The call that asks the incarnation `runner` for its report.
    fn report_request(&self, runner: &Incarnation) -> http::Request<Bytes>;

    /// Reads a report.
    ///
    /// # Errors
    /// If the bytes are no report.
    fn read_report(&self, body: &[u8]) -> Result<Report, FormatError>;

    /// The call that gives an order.
    fn order_request(&self, order: &Order) -> http::Request<Bytes>;

    /// Judges the answer to an order.
    fn classify_order(&self, status: http::StatusCode) -> OrderOutcome;
}
