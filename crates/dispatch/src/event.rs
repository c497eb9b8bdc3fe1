//! Events that the dispatch handles, and the actions that it returns.

use crate::{Attempt, Digest, EjectionReason, Prediction, RefusalContext, RetryBudgetOptions};
use std::{collections::BTreeSet, rc::Rc};
use vanetally_limit::{LimitChange, PermitAnswer, PermitRequest};
use vanetally_pacing::{Prompt, SlotReply};
use vanetally_ports::{CallerRequest, Configuration, ModelRef, Refusal, UpstreamState};
use vanetally_quarantine::{ContentHash, CrashSign, Quarantine, Suspicion};
use vanetally_slots::{SlotAnswer, SlotEnd, SlotRequest};
use vanetally_streams::Versions;
use vanetally_types::{Incarnation, Name, Tick};

/// Identifies a request within this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestId(pub u64);

/// Settings of the deployment.
#[derive(Clone, Debug)]
pub struct Options {
    /// Name of this host.
    pub host: Name,
    /// Failure domain of this host.
    pub domain: Name,
    /// Bounds on the retries of all hosts together.
    pub retry_budget: RetryBudgetOptions,
    /// Duration of a planned stop.
    pub grace_ms: u64,
    /// How long a revoked key may still be used; `None` if hosts continue to serve with the last
    /// known configuration.
    pub revoke_ms: Option<u64>,
    /// Whether prompts that share a long prefix go to the same replica.
    pub prefix_affinity: bool,
    /// Whether waiting requests are ordered, and their wait is forecast, over all hosts.
    pub shared_queue: bool,
    /// Whether owners grant the slots of plain upstreams that have fewer slots than there are hosts.
    pub slot_grants: bool,
}

/// Whether a runner holds a model or an adapter, by report of the order holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Presence {
    /// The runner holds it.
    Present,
    /// The runner does not hold it or is unloading it.
    Absent,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The complete answer of the upstream was passed to the caller.
    Served,
    /// The upstream answered with an error, which was passed to the caller.
    Failed,
    /// The connection could not be established; nothing was sent.
    Unreachable,
    /// The upstream left before anything was sent.
    Withdrawn,
    /// The upstream rejected the request as full.
    Full,
    /// The upstream does not hold the requested model or adapter.
    Absent,
    /// Another incarnation answered at the upstream's address.
    Replaced,
    /// The answer broke off, was malformed or never came; the request may have run.
    Broken,
    /// Like `Broken`, but it is not known whether the upstream or the network path is at fault.
    Lost,
    /// Like `Unreachable`, but it is not known whether the upstream or the network path is at fault.
    NoPath,
    /// Like `NoPath`, and this host has not reached any upstream for a while.
    CutOff,
}

impl AttemptEnd {
    /// Returns the name for logs and metrics.
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
            Self::Lost => "lost",
            Self::NoPath => "no_path",
            Self::CutOff => "cut_off",
        }
    }

    /// Whether nothing was sent to the upstream.
    pub fn is_unsent(self) -> bool {
        matches!(self, Self::Unreachable | Self::NoPath | Self::CutOff | Self::Withdrawn)
    }
}

/// An input of the dispatch.
#[derive(Clone, Debug)]
pub enum Event {
    /// A newer configuration is in force.
    Configured(Rc<Configuration>),
    /// The store confirmed that the configuration in force was the newest at this time.
    Confirmed(Tick),
    /// Another host has this configuration version, which this host does not have yet.
    VersionHeard(u64),
    /// A content was quarantined, or released from quarantine or suspicion.
    Quarantined(Quarantine),
    /// A content is suspected of crashing upstreams.
    Suspected(Suspicion),
    /// The hosts that keep the evidence answered [`Action::AskTries`].
    TriesAnswered {
        /// The request.
        id: RequestId,
        /// The contents that were asked for.
        contents: Vec<ContentHash>,
        /// Whether all were granted; otherwise none is.
        is_granted: bool,
    },
    /// The software versions of a service that the store keeps have changed.
    VersionsStored {
        /// The service.
        service: Name,
        /// The versions; `None` if the store keeps none.
        versions: Option<Versions>,
    },
    /// An upstream was probed after attempts at it had broken off.
    Probed {
        /// The probed upstream.
        upstream: Incarnation,
        /// Contents of these attempts.
        contents: Vec<ContentHash>,
        /// The sign of a crash; `None` if the upstream is alive.
        sign: Option<CrashSign>,
    },
    /// A probe could not tell whether an upstream is at fault for failures: this host does not reach
    /// it, and it answers others or nobody else could be asked.
    Unjudged {
        /// The upstream.
        upstream: Incarnation,
        /// Contents of the attempts that failed.
        contents: Vec<ContentHash>,
    },
    /// The answer to a request will not arrive by its connection, which stays open: the request is no
    /// load of the upstream any more.
    Detached {
        /// The request.
        id: RequestId,
    },
    /// An upstream announced itself, or changed its announcement.
    UpstreamSeen {
        /// The upstream.
        id: Incarnation,
        /// The announced state.
        state: UpstreamState,
    },
    /// The announcement of an upstream was there before this host knew it: another incarnation may have taken its place.
    UpstreamUnidentified {
        /// The upstream.
        id: Incarnation,
    },
    /// An upstream has shown which incarnation it is: it announced itself just now, or stated its start time.
    UpstreamIdentified {
        /// The upstream.
        id: Incarnation,
    },
    /// The announcement of an upstream can't be read; it gets no new requests until it can.
    UpstreamUnreadable {
        /// The upstream.
        id: Incarnation,
    },
    /// Another incarnation was announced under an upstream's id; open attempts at the previous one
    /// will not be answered.
    UpstreamEnded {
        /// The incarnation that ended.
        id: Incarnation,
    },
    /// The announcement of an upstream is gone.
    UpstreamGone {
        /// The upstream.
        id: Incarnation,
    },
    /// These failure domains are evacuated, and no others: their upstreams get no new requests.
    Evacuated(Rc<BTreeSet<Name>>),
    /// The order holder reported whether a runner holds a model or an adapter.
    PresenceReported {
        /// The runner.
        runner: Incarnation,
        /// The model or adapter.
        subject: ModelRef,
        /// Whether the runner holds it.
        presence: Presence,
    },
    /// Another host reported its load.
    PeerDigest {
        /// The reporting host.
        host: Name,
        /// Its load.
        digest: Digest,
    },
    /// Another host is gone.
    PeerGone {
        /// The host that is gone.
        host: Name,
    },
    /// Number of hosts that may be running, including this one.
    HostCount(usize),
    /// A request was received completely.
    Arrived {
        /// Id of the request in this process.
        id: RequestId,
        /// The request without its body.
        request: CallerRequest,
        /// What the request consists of.
        contents: Rc<[ContentHash]>,
    },
    /// A request that was received completely has waited for quota until now.
    ArrivedEarlier {
        /// When it arrived.
        at: Tick,
        /// Id of the request in this process.
        id: RequestId,
        /// The request without its body.
        request: CallerRequest,
        /// What the request consists of.
        contents: Rc<[ContentHash]>,
    },
    /// The engine's pacer answered a reservation.
    Reserved {
        /// The request.
        id: RequestId,
        /// Number of the reservation.
        reservation: u32,
        /// The pacer's answer.
        slot: SlotReply,
    },
    /// The grantor answered a permit request for a rate-limited upstream.
    PermitAnswered {
        /// The request.
        id: RequestId,
        /// Number of the reservation.
        reservation: u32,
        /// The permit request.
        request: PermitRequest,
        /// The grantor's answer.
        answer: PermitAnswer,
    },
    /// The owner of an upstream's slots answered, or did not answer in time.
    SlotAnswered {
        /// The request.
        id: RequestId,
        /// Number of the reservation.
        reservation: u32,
        /// The owner's answer; `None` if it did not answer.
        answer: Option<SlotAnswer>,
    },
    /// The first piece of an answer was received: the first body frame of a stream, the head of any
    /// other answer.
    FirstPiece {
        /// The request.
        id: RequestId,
    },
    /// The head of an answer was received, with or without a stated rate limit.
    LimitStated {
        /// The upstream that answered.
        upstream: Incarnation,
        /// When the request was sent.
        sent: Tick,
        /// Requests per second that the upstream takes from all hosts; `None` if it states no
        /// limit.
        rate: Option<f64>,
    },
    /// The upstreams of a service are brittle.
    BrittlenessStated {
        /// The service.
        service: Name,
        /// Rejections for lack of room in a second that an upstream survives.
        max_rejections: u32,
    },
    /// An upstream rejected a request and asked this host to send nothing for a while.
    CooldownRequested {
        /// The upstream.
        upstream: Incarnation,
        /// Duration of the cooldown.
        for_ms: u64,
    },
    /// The upstream still sends an answer some time after its first piece, so that it has not crashed under it.
    AnswerContinues {
        /// The request.
        id: RequestId,
    },
    /// An attempt ended.
    AttemptEnded {
        /// The request.
        id: RequestId,
        /// How the attempt ended.
        end: AttemptEnd,
        /// Whether any part of an answer was passed to the caller.
        answered: bool,
    },
    /// The caller closed its connection.
    CallerLeft {
        /// The request.
        id: RequestId,
    },
    /// A planned stop of this host begins.
    Stopping,
    /// The store answered this process for the first time.
    StoreAnswered,
    /// Time has passed.
    Tick,
}

/// A content of a request under which an upstream may have crashed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SuspectedContent {
    /// The content.
    pub content: ContentHash,
    /// Whether it was answered shortly before, or is repeated by hosts.
    pub is_common: bool,
    /// When the request was sent.
    pub sent_at: Tick,
}

/// An output of the dispatch.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send the request.
    Send {
        /// The request.
        id: RequestId,
        /// The attempt to make.
        attempt: Attempt,
    },
    /// Cancel an attempt at an upstream that has ended; the attempt ends as broken.
    Abandon {
        /// The request.
        id: RequestId,
        /// Number of the attempt.
        number: u32,
    },
    /// Ask the engine's pacer when the request may be sent.
    Reserve {
        /// The request.
        id: RequestId,
        /// Number of the reservation.
        reservation: u32,
        /// The prompt.
        prompt: Prompt,
    },
    /// End the request with an answer of this host, or cut off an answer that has begun.
    Refuse {
        /// The request.
        id: RequestId,
        /// The cause, and whether the request may have run.
        refusal: Refusal,
        /// Details for the log.
        context: RefusalContext,
    },
    /// Request a model or adapter that no runner holds, or another copy of a saturated one.
    RequestModel {
        /// The service.
        service: Name,
        /// The model or adapter.
        subject: ModelRef,
        /// Whether runners hold it, but without capacity.
        is_saturated: bool,
    },
    /// Report to the engine's pacer how an attempt ended.
    ReportOutcome {
        /// The engine.
        upstream: Incarnation,
        /// Whether the engine answered.
        is_good: bool,
    },
    /// Ask the grantor when the request may be sent to a rate-limited upstream.
    RequestPermit {
        /// The request.
        id: RequestId,
        /// Number of the reservation.
        reservation: u32,
        /// The permit request.
        request: PermitRequest,
    },
    /// Return a permit that was not used.
    ReturnPermit {
        /// The upstream.
        upstream: Incarnation,
        /// Rate under which the permit was granted, in requests per second.
        rate: f64,
    },
    /// Ask the owner of a plain upstream's slots for one.
    AcquireSlot {
        /// The request.
        id: RequestId,
        /// Number of the reservation.
        reservation: u32,
        /// The request for a slot.
        request: SlotRequest,
    },
    /// Release a slot that was granted, or end the wait for it.
    ReleaseSlot {
        /// The request.
        id: RequestId,
        /// Number of the reservation.
        reservation: u32,
        /// How the use of the slot ended.
        end: SlotEnd,
    },
    /// Log that an upstream changed or ended its stated rate limit.
    LimitChanged {
        /// The upstream.
        upstream: Incarnation,
        /// The change.
        change: LimitChange,
        /// The host that reported it; `None` if this host received the answer.
        reported_by: Option<Name>,
    },
    /// Probe an upstream at which an attempt broke off. If it has crashed, that is evidence against
    /// the contents.
    Probe {
        /// The upstream.
        upstream: Incarnation,
        /// What the request consists of.
        suspects: Vec<SuspectedContent>,
    },
    /// Log what a request consists of whose attempt broke off.
    AttemptBroken {
        /// The caller's id of the request.
        request: Name,
        /// The upstream.
        upstream: Incarnation,
        /// What the request consists of.
        suspects: Vec<SuspectedContent>,
    },
    /// Report the crash of an upstream to the hosts that keep the evidence.
    ReportCrash {
        /// The upstream.
        upstream: Incarnation,
        /// The sign of the crash.
        sign: CrashSign,
        /// What the requests consist of that it had under way.
        suspects: Vec<SuspectedContent>,
    },
    /// Ask the hosts that keep the evidence whether a request with suspected contents may be sent.
    AskTries {
        /// The request.
        id: RequestId,
        /// The contents.
        contents: Vec<ContentHash>,
    },
    /// Tell these hosts that tries are over whose result says nothing of the contents.
    EndTries {
        /// The contents.
        contents: Vec<ContentHash>,
    },
    /// Tell these hosts of answers that upstreams survived.
    ReportAnswers {
        /// Suspected contents, and how many milliseconds ago the answers began.
        answers: Vec<(ContentHash, u64)>,
    },
    /// Log that an upstream was ejected.
    Ejected {
        /// The upstream.
        upstream: Incarnation,
        /// Whose outcomes were the reason.
        reason: EjectionReason,
    },
    /// Log how well the time of the first piece was predicted.
    Predicted {
        /// The request.
        id: RequestId,
        /// The predicted and the actual time.
        prediction: Prediction,
    },
}
