//! Inputs and outputs of the placement.

use std::{collections::BTreeSet, net::SocketAddr, rc::Rc};
use vanetally_ports::{
    Configuration, FencingToken, ModelRef, Order, OrderOutcome, Report, UpstreamState,
};
use vanetally_types::{Incarnation, Name, Tick};

/// Settings of the placement.
#[derive(Clone, Debug)]
pub struct Options {
    /// Name of this host, sent to runners as the holder of the order lease.
    pub holder: Name,
    /// Window of the weight store's load limit.
    pub load_window_ms: u64,
}

/// Requests for one model or adapter at one host since its last sample.
#[derive(Clone, Debug, PartialEq)]
pub struct DemandSample {
    /// The service.
    pub service: Name,
    /// The requested model or adapter.
    pub subject: ModelRef,
    /// Number of requests that arrived.
    pub arrived: u32,
    /// Expected runner time of these requests.
    pub work_ms: u32,
}

/// An input of the placement.
#[derive(Clone, Debug)]
pub enum Event {
    /// A new configuration took effect.
    Configured(Rc<Configuration>),
    /// A runner's announcement appeared or changed.
    UpstreamSeen {
        /// Its incarnation.
        id: Incarnation,
        /// The announced state.
        state: UpstreamState,
    },
    /// A runner's announcement can't be decoded. The runner gets no orders until it can.
    UpstreamUnreadable {
        /// Its incarnation.
        id: Incarnation,
    },
    /// A runner's announcement was removed, or replaced by that of another incarnation.
    UpstreamGone {
        /// Its incarnation.
        id: Incarnation,
    },
    /// These failure domains are evacuated, and no others: their runners count as leaving.
    Evacuated(Rc<BTreeSet<Name>>),
    /// A host reported its demand.
    Demand(Vec<DemandSample>),
    /// A host requested a model or an adapter that it can't find.
    Requested {
        /// The service.
        service: Name,
        /// The requested model or adapter.
        subject: ModelRef,
        /// Whether replicas exist but are saturated, so that another one is requested.
        is_saturated: bool,
    },
    /// A runner answered a report request, or failed to.
    Reported {
        /// The runner.
        runner: Incarnation,
        /// When the report was requested.
        requested_at: Tick,
        /// The report, or `None` if the runner didn't answer.
        report: Option<Report>,
    },
    /// A runner answered an order.
    OrderAnswered {
        /// The order.
        order: Order,
        /// The answer.
        outcome: OrderOutcome,
    },
    /// The fencing token under which orders may be sent, if any.
    Token(Option<FencingToken>),
    /// Time has passed.
    Tick,
}

/// Known state of a runner when an order was sent to it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KnownState {
    /// Models that are held or loading.
    pub models: Vec<Name>,
    /// Number of adapters that are held or loading.
    pub adapters: usize,
    /// Milliseconds since the last report.
    pub report_age_ms: u64,
}

/// An output of the placement, to be carried out by the caller.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an order to a runner.
    Order {
        /// The order.
        order: Order,
        /// The runner's address.
        address: SocketAddr,
        /// The known state that the order is based on.
        known: KnownState,
    },
    /// Request a report from a runner.
    RequestReport {
        /// The runner.
        runner: Incarnation,
        /// The runner's address.
        address: SocketAddr,
    },
    /// Announce to all hosts that a runner gained or lost a model or adapter.
    Announce {
        /// The runner.
        runner: Incarnation,
        /// The model or adapter.
        subject: ModelRef,
        /// Whether the runner holds it.
        is_present: bool,
        /// Delay of the announcement.
        delay_ms: u64,
    },
    /// Give up the order lease: a runner has seen a higher token.
    Resign,
}
