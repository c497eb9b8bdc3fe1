//! What upstreams say of themselves in their answers, and who hears of it.

use crate::{hub::Hub, peers::PeerMessage, telemetry};
use http::{StatusCode, response::Parts};
use std::{rc::Rc, time::Duration};
use tokio::time::sleep;
use vanetally_dispatch::Event;
use vanetally_ports::{AnswerKind, Stated, Statement};
use vanetally_types::{Incarnation, Name, Tick};

impl Hub {
    /// Takes in what the head of an answer to a request says, which was sent at `sent`.
    pub(crate) fn note_answer(
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
        // One that turns a request away need not say all that it would: it may name a limit, and ends none.
        let ends = matches!(kind, AnswerKind::Success | AnswerKind::Failure);
        let rate = self.readable(upstream, "limit", statement.limit);
        if rate.is_some() || ends {
            self.request_event(Event::LimitStated { upstream: upstream.clone(), sent, rate });
        }
        self.note_statement(upstream, &statement);
    }

    /// Takes in what the head of an answer to a report or an order says.
    pub(crate) fn note_reply(self: &Rc<Self>, upstream: &Incarnation, head: &Parts) {
        // Another life answers so.
        if head.status != StatusCode::MISDIRECTED_REQUEST {
            self.note_statement(upstream, &self.ports.engine.read_statement(head));
        }
    }

    fn note_statement(self: &Rc<Self>, upstream: &Incarnation, statement: &Statement) {
        if self.readable(upstream, "leaving", statement.leaving).is_some() {
            self.leaving(None, vec![upstream.clone()]);
        }
        let rest_ms = self.readable(upstream, "rest", statement.cooldown_ms);
        if let Some(for_ms) = rest_ms.filter(|for_ms| *for_ms > 0) {
            log::info!("event=rest_asked upstream={upstream} for_ms={for_ms}");
            telemetry::rest_asked();
            self.request_event(Event::CooldownRequested { upstream: upstream.clone(), for_ms });
        }
    }

    /// Whether an upstream has asked for rest; if so, waits for the end of it, `most` at most.
    pub(crate) async fn rests(&self, upstream: &Incarnation, most: Duration) -> bool {
        let left_ms = self.dispatch.borrow().cooldown_left_ms(self.clock.now(), upstream);
        if let Some(left_ms) = left_ms {
            sleep(Duration::from_millis(left_ms).min(most)).await;
        }
        left_ms.is_some()
    }

    /// What was stated, if it can be read.
    fn readable<T>(&self, upstream: &Incarnation, what: &str, stated: Stated<T>) -> Option<T> {
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

    /// These upstreams have said that they leave, by the word of `from` or in answers to this host.
    pub(crate) fn leaving(self: &Rc<Self>, from: Option<&Name>, upstreams: Vec<Incarnation>) {
        let now = self.clock.now();
        let is_news = |upstream: &Incarnation| {
            self.leaving_upstreams.borrow_mut().insert(now, upstream.clone())
        };
        let news: Vec<Incarnation> = upstreams.into_iter().filter(is_news).collect();
        if news.is_empty() {
            return;
        }
        for upstream in &news {
            let by = from.map_or("answer", |host| host);
            log::info!("event=upstream_leaving upstream={upstream} by={by}");
            telemetry::upstream_leaving(from.is_some());
            let state = self.dispatch.borrow().upstream_state(upstream).cloned();
            if let Some(state) = state {
                self.upstream_seen(upstream.clone(), state);
            }
        }
        let own = &self.settings.host;
        self.spread(from.unwrap_or(own), &PeerMessage::Leaving(news));
    }

    /// Tells a host that starts which upstreams have said that they leave.
    pub(crate) fn tell_leavers(&self, host: &Name) {
        let leaving_upstreams = self.leaving_upstreams.borrow().all();
        if !leaving_upstreams.is_empty() {
            self.send(host, &PeerMessage::Leaving(leaving_upstreams));
        }
    }
}
