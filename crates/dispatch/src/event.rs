//! What goes into the decisions and what comes out.

use crate::{Digest, RefusalContext, RetryBudgetOptions, ShortageKind};
use std::{net::SocketAddr, rc::Rc};
use vanetally_limit::{LimitChange, PermitAnswer, PermitRequest};
use vanetally_pacing::{Prompt, SlotReply};
use vanetally_ports::{CallerRequest, Configuration, ModelRef, Origin, Refusal, UpstreamState};
use vanetally_quarantine::{ContentHash, CrashReport, CrashSign, Quarantine};
use vanetally_types::{Incarnation, Name, Tick};

/// A request in this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestId(pub u64);

/// Bounds that the deployment states.
#[derive(Clone, Debug)]
pub struct Options {
    /// This host.
    pub host: Name,
    /// This host's failure domain.
    pub domain: Name,
    /// Retries that all hosts together may make.
    pub retry_budget: RetryBudgetOptions,
    /// Milliseconds that a planned stop may take.
    pub grace_ms: u64,
    /// Milliseconds after a key was taken away within which it must not be used any more; none if hosts serve on
    /// with the last configuration that they know.
    pub revoke_ms: Option<u64>,
}

/// Whether a runner holds a model or an adapter, as the holder of orders tells it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Presence {
    /// It is there.
    Present,
    /// It is not there, or goes.
    Absent,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The upstream's whole answer went to the caller.
    Served,
    /// The upstream's own failure went to the caller.
    Failed,
    /// No connection came about: nothing was sent.
    Unreachable,
    /// It left before anything was sent.
    Withdrawn,
    /// The upstream turned it away as full.
    Full,
    /// The upstream does not hold what was asked for.
    Absent,
    /// Another incarnation answered at the upstream's address.
    Replaced,
    /// The answer broke off, made no sense or never came: it may have run.
    Broken,
}

impl AttemptEnd {
    /// The word for logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Served => "served",
            Self::Failed => "failed",
            Self::Unreachable => "unreachable",
            Self::Withdrawn => "withdrawn",
            Self::Full => "full",
            Self::Absent => "absent",
            Self::Replaced => "replaced",
            Self::Broken => "broken",
        }
    }
}

/// Something that happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// A newer configuration is in force.
    Configured(Rc<Configuration>),
    /// The configuration in force was the newest at this moment, by the store's word.
    Confirmed(Tick),
    /// A content was found to end upstreams, or not to.
    Quarantined(Quarantine),
    /// It was looked whether an upstream lives at which attempts had broken off.
    Probed {
        /// The upstream's incarnation.
        upstream: Incarnation,
        /// The contents of these attempts.
        content_hashes: Vec<ContentHash>,
        /// The sign of its end; none if it lives.
        sign: Option<CrashSign>,
    },
    /// An upstream announced itself, or changed what it announces.
    UpstreamSeen {
        /// Its incarnation.
        id: Incarnation,
        /// What it says.
        state: UpstreamState,
    },
    /// What an upstream announces can't be read: it gets nothing new until it can.
    UpstreamUnreadable {
        /// Its incarnation.
        id: Incarnation,
    },
    /// Another life is announced under an upstream's id: what it had under way will not be answered.
    UpstreamEnded {
        /// The incarnation that has ended.
        id: Incarnation,
    },
    /// An upstream's announcement is gone.
    UpstreamGone {
        /// Its incarnation.
        id: Incarnation,
    },
    /// The holder of orders told what a runner holds.
    PresenceReported {
        /// The runner.
        runner: Incarnation,
        /// What it is about.
        subject: ModelRef,
        /// Whether it is there.
        presence: Presence,
    },
    /// Another host told its load.
    PeerDigest {
        /// The host.
        host: Name,
        /// Its load.
        digest: Digest,
    },
    /// Another host is gone.
    PeerGone {
        /// The host.
        host: Name,
    },
    /// How many hosts may live now, this one included.
    HostCount(usize),
    /// A request was read whole.
    Arrived {
        /// Its number in this process.
        id: RequestId,
        /// Its head.
        request: CallerRequest,
        /// Its content.
        content_hash: ContentHash,
    },
    /// The engine's pacer answered.
    Reserved {
        /// The request.
        id: RequestId,
        /// The reservation that was asked for.
        reservation: u32,
        /// What it said.
        slot: SlotReply,
    },
    /// Who grants said when the request may go to an upstream in need.
    PermitAnswered {
        /// The request.
        id: RequestId,
        /// The reservation that was asked for.
        reservation: u32,
        /// What was asked.
        request: PermitRequest,
        /// What was said.
        answer: PermitAnswer,
    },
    /// The first piece of an answer came.
    FirstPiece {
        /// The request.
        id: RequestId,
    },
    /// The head of an answer came.
    LimitStated {
        /// The upstream's incarnation.
        upstream: Incarnation,
        /// When the request was sent.
        sent: Tick,
        /// Requests a second that it takes from all hosts; none if it names no limit.
        rate: Option<f64>,
    },
    /// An upstream turned a request away and wants nothing from this host for a while.
    CooldownRequested {
        /// The upstream's incarnation.
        upstream: Incarnation,
        /// Milliseconds.
        for_ms: u64,
    },
    /// An attempt ended.
    AttemptEnded {
        /// The request.
        id: RequestId,
        /// How.
        end: AttemptEnd,
        /// Whether any part of an answer went to the caller.
        answered: bool,
    },
    /// The caller has left.
    CallerLeft {
        /// The request.
        id: RequestId,
    },
    /// The host begins a planned stop.
    Stopping,
    /// The store has answered this process for the first time.
    StoreAnswered,
    /// Time passed.
    Tick,
}

/// One sending of a request.
#[derive(Clone, Debug, PartialEq)]
pub struct Attempt {
    /// The caller's name for the request.
    pub request: Name,
    /// The route that takes it.
    pub route: Name,
    /// The model or adapter that it asks for.
    pub subject: Option<ModelRef>,
    /// The configuration in force.
    pub version: u64,
    /// Milliseconds since the request arrived.
    pub waited_ms: u64,
    /// What it lacked before, if it had to wait.
    pub shortage: Option<ShortageKind>,
    /// Tokens of the prompt that the upstream was thought not to have read before.
    pub unread_tokens: u32,
    /// Milliseconds of reading that it was thought to do first, for others.
    pub ahead_ms: u32,
    /// The upstream's incarnation.
    pub upstream: Incarnation,
    /// Where it listens.
    pub address: SocketAddr,
    /// Milliseconds to wait before it is sent, as the engine's pacer said.
    pub delay_ms: u32,
    /// Milliseconds left.
    pub deadline_ms: u64,
    /// Most connections of this host to the upstream.
    pub connections: usize,
    /// Number of this sending, from 1.
    pub number: u32,
    /// Requests of this host at the upstream before this one.
    pub own_load: usize,
    /// Requests of other hosts there, by their digests.
    pub peer_load: u32,
    /// Longest pause between events that the operators want, in milliseconds.
    pub gap_ms: u64,
    /// Whether the answer is a series of events.
    pub is_stream: bool,
    /// Whether the request may run more than once.
    pub may_repeat: bool,
    /// On whose behalf it is sent.
    pub origin: Origin,
    /// Requests a second that the upstream takes from all hosts, by which this one got its moment.
    pub limit: Option<f64>,
}

/// What has to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send the request.
    Send {
        /// The request.
        id: RequestId,
        /// Where and how.
        attempt: Attempt,
    },
    /// Give up the attempt at an upstream that has ended: it ends as a broken one.
    Abandon {
        /// The request.
        id: RequestId,
        /// The number of the attempt.
        number: u32,
    },
    /// Ask the engine's pacer when the request may be sent.
    Reserve {
        /// The request.
        id: RequestId,
        /// The number of this reservation among those of the request.
        reservation: u32,
        /// Its prompt.
        prompt: Prompt,
    },
    /// End the request with an answer of the product's own, or cut what has begun.
    Refuse {
        /// The request.
        id: RequestId,
        /// Why, and whether it may have run.
        refusal: Refusal,
        /// What stood in its way.
        context: RefusalContext,
    },
    /// A model or adapter is asked for that no runner holds, or an adapter at none with room.
    RequestModel {
        /// The service.
        service: Name,
        /// What is missing.
        subject: ModelRef,
        /// Whether it is held, and one more copy is wanted.
        is_saturated: bool,
    },
    /// Tell the engine's pacer how a request ended there.
    ReportOutcome {
        /// The engine's incarnation.
        upstream: Incarnation,
        /// Whether it answered.
        is_good: bool,
    },
    /// Ask who grants when the request may go to an upstream in need.
    RequestPermit {
        /// The request.
        id: RequestId,
        /// The number of this reservation among those of the request.
        reservation: u32,
        /// What to ask.
        request: PermitRequest,
    },
    /// What was granted did not go: give it back.
    ReturnPermit {
        /// The upstream's incarnation.
        upstream: Incarnation,
        /// The rate by which it was granted, in requests a second.
        rate: f64,
    },
    /// Note that an upstream names another limit than before, or none any more.
    LimitChanged {
        /// The upstream's incarnation.
        upstream: Incarnation,
        /// What changed.
        change: LimitChange,
        /// The host that told it; none if this one heard it.
        reported_by: Option<Name>,
    },
    /// An attempt broke off: look whether its upstream lives. If not, that speaks against the content.
    Probe {
        /// The upstream's incarnation.
        upstream: Incarnation,
        /// Where it listened.
        address: SocketAddr,
        /// Whether it is an engine, which reports when asked.
        is_engine: bool,
        /// The content.
        content_hash: ContentHash,
        /// Whether many callers send this content.
        is_common: bool,
    },
    /// An upstream has certainly ended under a content: those that keep the evidence have to know.
    ReportCrash(CrashReport),
    /// Note how well the first piece was predicted.
    Predicted {
        /// The request.
        id: RequestId,
        /// What was expected and what came.
        prediction: Prediction,
    },
}

/// The first piece of an answer, as it was expected when the request was sent.
#[derive(Clone, Debug, PartialEq)]
pub struct Prediction {
    /// The caller's name for the request.
    pub request: Name,
    /// The upstream's incarnation.
    pub upstream: Incarnation,
    /// Milliseconds from the sending to the first piece, as expected.
    pub expected_ms: f64,
    /// Milliseconds that it took.
    pub took_ms: f64,
    /// Tokens of the prompt that the upstream was thought not to have read before.
    pub unread_tokens: u32,
    /// Milliseconds of reading that it was thought to do first, for others.
    pub ahead_ms: u32,
    /// Microseconds that the upstream was thought to read one of them.
    pub per_token_us: f64,
}
