//! Inputs and outputs of the state machine.

use vanetally_types::{Incarnation, Name};

/// Identifies an attempt that has not ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum AttemptId {
    /// An attempt of a request of this host.
    Own(u64),
    /// A request in a tunnel of another host.
    Served(u64),
}

/// How a request gets to its upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Path {
    /// On a connection of this host.
    Direct,
    /// Through another host.
    Exit,
}

/// Ways by which a probe asks an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeScope {
    /// Directly and through exits, to tell who is at fault.
    Full,
    /// Directly only, to see whether a blocked upstream is reached again.
    Direct,
}

/// Result of a probe.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ProbeResult {
    /// The upstream answered directly.
    Answered,
    /// The upstream answered through this exit only.
    Blocked(Name),
    /// The upstream answers neither this host nor others.
    Failed,
    /// The upstream did not answer this host, and nobody could tell whether it answers others.
    Unanswered,
}

/// An input of [`Reach`](crate::Reach).
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A request is sent to an upstream.
    Sent {
        /// The attempt.
        attempt: AttemptId,
        /// The upstream.
        upstream: Incarnation,
        /// The host through which it passes; `None` on a connection of this host.
        exit: Option<Name>,
    },
    /// Bytes were received in a tunnel through this host.
    HeardThrough(Name),
    /// An exit was asked whether it still reaches an upstream.
    ExitChecked {
        /// The exit.
        exit: Name,
        /// Whether it answered, and is not cut off.
        works: bool,
    },
    /// Bytes were received on a direct connection to an upstream.
    Heard(Incarnation),
    /// The first bytes were received on a new direct connection to an upstream.
    Proven(Incarnation),
    /// An attempt ended.
    Ended {
        /// The attempt.
        attempt: AttemptId,
        /// Whether its connection broke.
        is_broken: bool,
    },
    /// A request needs a new connection to an upstream.
    Connecting(Incarnation),
    /// A direct connection to an upstream could not be opened.
    ConnectFailed(Incarnation),
    /// A probe ended.
    Probed {
        /// The upstream.
        upstream: Incarnation,
        /// The result.
        result: ProbeResult,
    },
    /// Other upstreams were asked for [`Action::AskOthers`].
    OthersAsked {
        /// Whether one of them answered directly.
        is_reached: bool,
    },
    /// An upstream is gone.
    Gone(Incarnation),
    /// Time has passed.
    Tick,
}

/// What a host answers another one that asks it for a tunnel to an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Offer {
    /// The upstream answered on a new connection a short time ago.
    Accept,
    /// Only a probe can tell whether new connections reach the upstream.
    Probe,
    /// New connections do not reach it.
    Refuse,
}

/// An output of [`Reach`](crate::Reach).
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Probe an upstream, and report the result with [`Event::Probed`].
    Probe {
        /// The upstream.
        upstream: Incarnation,
        /// The ways to try.
        scope: ProbeScope,
    },
    /// Log that an upstream is blocked for this host.
    Blocked {
        /// The upstream.
        upstream: Incarnation,
        /// The exit through which it answered.
        exit: Name,
    },
    /// Log that a blocked upstream is reached directly again.
    Reached {
        /// The upstream.
        upstream: Incarnation,
        /// How long it was blocked, in milliseconds.
        blocked_ms: u64,
    },
    /// Ask an exit whether it still reaches an upstream, and report the result with
    /// [`Event::ExitChecked`].
    CheckExit {
        /// The exit.
        exit: Name,
        /// The upstream.
        upstream: Incarnation,
    },
    /// Ask a few upstreams other than this one directly, and report the result with
    /// [`Event::OthersAsked`].
    AskOthers(Incarnation),
    /// This host reaches no upstream any more although other hosts do, or reaches one again.
    Separated(bool),
    /// The answer to an attempt does not arrive: its upstream is blocked, or its exit does not work.
    Lost(AttemptId),
}
