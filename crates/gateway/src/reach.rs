//! Passes what happens on the paths to upstreams to the state machine that judges them, and carries out
//! its decisions.

use crate::{command::Command, hub::Hub, pool::Connection, telemetry};
use std::rc::Rc;
use vanetally_dispatch::{self as dispatch, Attempt, AttemptEnd, RequestId};
use vanetally_placement::OrderLeaseEvent;
use vanetally_reach::{Action, AttemptId, Event};
use vanetally_types::Incarnation;

impl Hub {
    /// Passes an event to the state machine and performs the resulting actions.
    pub(crate) fn reach_event(self: &Rc<Self>, event: Event) {
        let now = self.clock.now();
        let actions = self.reach.borrow_mut().handle(now, event);
        for action in actions {
            match action {
                Action::Probe { upstream, scope } => self.probe_path(upstream, scope),
                Action::Blocked { upstream, exit } => {
                    log::warn!("event=upstream_blocked upstream={upstream} exit={exit}");
                    telemetry::upstream_blocked(true);
                    self.served_tunnels.close(&upstream);
                }
                Action::Reached { upstream, blocked_ms } => {
                    log::info!(
                        "event=upstream_reached upstream={upstream} blocked_ms={blocked_ms}"
                    );
                    telemetry::upstream_blocked(false);
                }
                Action::AskOthers(upstream) => self.ask_others(upstream),
                Action::Separated(is_separated) => {
                    log::warn!("event=host_separated separated={is_separated}");
                    self.order_lease_event(OrderLeaseEvent::Separated(is_separated));
                }
                Action::CheckExit { exit, upstream } => self.check_exit(exit, upstream),
                Action::Lost(AttemptId::Own(id)) => self.attempt_lost(RequestId(id)),
                // The tunnels to a blocked upstream were closed.
                Action::Lost(AttemptId::Served(_)) => {}
            }
        }
    }

    /// Asks a few upstreams other than `upstream` whether they answer this host.
    fn ask_others(self: &Rc<Self>, upstream: Incarnation) {
        let hub = self.clone();
        tokio::task::spawn_local(async move {
            let is_reached = hub.reaches_others(&upstream).await;
            hub.reach_event(Event::OthersAsked { is_reached });
        });
    }

    /// Gives up an attempt whose answer does not arrive. A request that may run again is sent again;
    /// any other one waits for its answer, which arrives if the path is soon restored.
    fn attempt_lost(self: &Rc<Self>, id: RequestId) {
        self.send_command(id, Command::PathLost);
        self.request_event(dispatch::Event::Detached { id });
    }

    /// Records that bytes of an upstream were received on a connection.
    pub(crate) fn upstream_heard(
        self: &Rc<Self>,
        upstream: &Incarnation,
        connection: &Connection,
        is_first: bool,
    ) {
        self.reach_event(match connection.exit() {
            Some(exit) => Event::HeardThrough(exit.clone()),
            None if is_first => Event::Proven(upstream.clone()),
            None => Event::Heard(upstream.clone()),
        });
    }

    /// Returns the end of an attempt whose connection was closed before anything was sent.
    pub(crate) fn unsent_end(&self) -> AttemptEnd {
        match self.reach.borrow().exits.is_empty() {
            true => AttemptEnd::Unreachable,
            false => AttemptEnd::NoPath,
        }
    }

    /// Returns the end of an attempt whose connection broke. Where other hosts can tell whether the
    /// upstream is at fault, it is not judged before, unless its bytes show it.
    pub(crate) fn broken_end(&self, attempt: &Attempt, connection: &Connection) -> AttemptEnd {
        if let Some(malformed) = connection.sender.malformed() {
            log::warn!(
                "event=answer_malformed upstream={} number={} cause={} exit={}",
                attempt.upstream,
                attempt.number,
                malformed.as_str(),
                connection.exit().map_or("-", |exit| exit)
            );
            return AttemptEnd::Broken;
        }
        match self.reach.borrow().exits.is_empty() {
            true => AttemptEnd::Broken,
            false => AttemptEnd::Lost,
        }
    }
}
