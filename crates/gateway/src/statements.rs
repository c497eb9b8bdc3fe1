//! Handles what upstreams state about themselves in responses, and forwards it to other hosts.

use crate::{hub::Hub, peers::PeerMessage, telemetry};
use http::{StatusCode, response::Parts};
use std::{rc::Rc, time::Duration};
use tokio::time::sleep;
use vanetally_dispatch::Event;
use vanetally_ports::{AnswerKind, Stated, Statement};
use vanetally_types::{Incarnation, Name, Tick};

impl Hub {
    /// Handles the statements in the head of a response to a request sent at `sent`.
    pub(crate) fn handle_response_head(
        self: &Rc<Self>,
        upstream: &Incarnation,
        sent: Tick,
        kind: AnswerKind,
        head: &Parts,
    ) {
        if !kind.is_authentic() {
            return;
        }
        let statement = self.ports.engine.read_statement(head);
        // A rejecting response may omit the limit: it can state a limit, but its silence does not
        // end one.
        let ends = matches!(kind, AnswerKind::Success | AnswerKind::Failure);
        let rate = self.readable_value(upstream, "limit", statement.limit);
        if rate.is_some() || ends {
            self.request_event(Event::LimitStated { upstream: upstream.clone(), sent, rate });
        }
        self.handle_statement(upstream, &statement);
    }

    /// Handles the statements in the head of a response to a report request or an order.
    pub(crate) fn handle_reply_head(self: &Rc<Self>, upstream: &Incarnation, head: &Parts) {
        // This status is sent by another incarnation.
        if head.status != StatusCode::MISDIRECTED_REQUEST {
            self.handle_statement(upstream, &self.ports.engine.read_statement(head));
        }
    }

    fn handle_statement(self: &Rc<Self>, upstream: &Incarnation, statement: &Statement) {
        if let Some(rejections) = self.readable_value(upstream, "brittle", statement.brittle) {
            self.brittleness_stated(upstream, rejections);
        }
        if self.readable_value(upstream, "leaving", statement.leaving).is_some() {
            self.upstreams_leaving(None, vec![upstream.clone()]);
        }
        let cooldown_ms = self.readable_value(upstream, "rest", statement.cooldown_ms);
        if let Some(for_ms) = cooldown_ms.filter(|for_ms| *for_ms > 0) {
            log::info!("event=rest_asked upstream={upstream} for_ms={for_ms}");
            telemetry::cooldown_requested();
            self.request_event(Event::CooldownRequested { upstream: upstream.clone(), for_ms });
        }
    }

    /// If an upstream is in cooldown, waits for its end, at most `max_wait`. Returns whether it was
    /// in cooldown.
    pub(crate) async fn await_cooldown(&self, upstream: &Incarnation, max_wait: Duration) -> bool {
        let remaining_ms = self.dispatch.borrow().cooldown_left_ms(self.clock.now(), upstream);
        if let Some(remaining_ms) = remaining_ms {
            sleep(Duration::from_millis(remaining_ms).min(max_wait)).await;
        }
        remaining_ms.is_some()
    }

    /// Returns the stated value, if present and readable.
    fn readable_value<T>(
        &self,
        upstream: &Incarnation,
        what: &str,
        stated: Stated<T>,
    ) -> Option<T> {
        match stated {
            Stated::Value(value) => Some(value),
            Stated::Absent => None,
            Stated::Unreadable => {
                log::warn!("event=statement_unreadable upstream={upstream} of={what}");
                telemetry::statement_unreadable();
                None
            }
        }
    }

    /// Handles announcements of leaving upstreams, relayed by `from` or stated in responses to this
    /// host.
    pub(crate) fn upstreams_leaving(
        self: &Rc<Self>,
        from: Option<&Name>,
        upstreams: Vec<Incarnation>,
    ) {
        let now = self.clock.now();
        let is_new = |upstream: &Incarnation| {
            self.leaving_upstreams.borrow_mut().insert(now, upstream.clone())
        };
        let added: Vec<Incarnation> = upstreams.into_iter().filter(is_new).collect();
        if added.is_empty() {
            return;
        }
        for upstream in &added {
            let by = from.map_or("answer", |host| host);
            log::info!("event=upstream_leaving upstream={upstream} by={by}");
            telemetry::upstream_leaving(from.is_some());
            let state = self.dispatch.borrow().upstream_state(upstream).cloned();
            if let Some(state) = state {
                self.upstream_seen(upstream.clone(), state);
            }
        }
        let own = &self.settings.host;
        self.forward(from.unwrap_or(own), &PeerMessage::Leaving(added));
    }

    /// Sends a starting host the leaving upstreams.
    pub(crate) fn send_leaving(&self, host: &Name) {
        let leaving_upstreams = self.leaving_upstreams.borrow().all();
        if !leaving_upstreams.is_empty() {
            self.send(host, &PeerMessage::Leaving(leaving_upstreams));
        }
    }
}
