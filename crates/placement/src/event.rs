//! What goes into the placement and what comes out.

use std::{net::SocketAddr, rc::Rc};
use vanetally_ports::{
    Configuration, FencingToken, ModelRef, Order, OrderOutcome, Report, UpstreamState,
};
use vanetally_types::{Incarnation, Name, Tick};

/// Bounds that the deployment states.
#[derive(Clone, Debug)]
pub struct Options {
    /// This host, as runners are told.
    pub holder: Name,
    /// Window of the weight store's rate, in milliseconds.
    pub load_window_ms: u64,
}

/// Requests for one model or adapter at one host, since its last sample.
#[derive(Clone, Debug, PartialEq)]
pub struct DemandSample {
    /// The service.
    pub service: Name,
    /// What is asked for.
    pub subject: ModelRef,
    /// Requests that arrived.
    pub arrived: u32,
    /// Milliseconds of a runner that they should take.
    pub work_ms: u32,
}

/// Something that happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// A newer configuration is in force.
    Configured(Rc<Configuration>),
    /// A runner announced itself, or changed what it announces.
    UpstreamSeen {
        /// Its incarnation.
        id: Incarnation,
        /// What it says.
        state: UpstreamState,
    },
    /// What a runner announces can't be read: it gets no order until it can.
    UpstreamUnreadable {
        /// Its incarnation.
        id: Incarnation,
    },
    /// A runner's announcement is gone, or another life is announced under its id.
    UpstreamGone {
        /// Its incarnation.
        id: Incarnation,
    },
    /// A host told what is asked of it.
    Demand(Vec<DemandSample>),
    /// A host misses a model or an adapter.
    Requested {
        /// The service.
        service: Name,
        /// What is missing.
        subject: ModelRef,
        /// Whether it is held, and one more copy is wanted.
        is_saturated: bool,
    },
    /// A runner told what it holds.
    Reported {
        /// The runner.
        runner: Incarnation,
        /// When it was asked.
        requested_at: Tick,
        /// What it said; none if it did not answer.
        report: Option<Report>,
    },
    /// A runner answered an order.
    OrderAnswered {
        /// The order.
        order: Order,
        /// The answer.
        outcome: OrderOutcome,
    },
    /// The token under which orders may be given now.
    Token(Option<FencingToken>),
    /// Time passed.
    Tick,
}

/// What was believed of a runner when an order was given to it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KnownState {
    /// Models that are there or on their way.
    pub models: Vec<Name>,
    /// Adapters that are there or on their way.
    pub adapters: usize,
    /// Milliseconds since its last report.
    pub report_age_ms: u64,
}

/// What has to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Give an order.
    Order {
        /// The order.
        order: Order,
        /// Where the runner listens.
        address: SocketAddr,
        /// What the order rests on.
        known: KnownState,
    },
    /// Ask a runner for its report.
    RequestReport {
        /// The runner.
        runner: Incarnation,
        /// Where it listens.
        address: SocketAddr,
    },
    /// Tell all hosts what a runner holds.
    Announce {
        /// The runner.
        runner: Incarnation,
        /// What it is about.
        subject: ModelRef,
        /// Whether it is there.
        is_present: bool,
        /// Not before this many milliseconds have passed.
        delay_ms: u64,
    },
    /// A runner has seen a higher token: the order_lease is over.
    Resign,
}
