//! Asking when requests may go to upstreams in need, and answering as the host that grants.

use crate::{
    hub::Hub,
    peers::PeerMessage,
    questions::{GRANTOR_ANSWER, Questions, grantor_answer},
    telemetry,
};
use std::rc::Rc;
use vanetally_dispatch::{self as dispatch, RequestId};
use vanetally_fanout::StoreState;
use vanetally_limit::{Grantor, PermitAnswer, PermitRequest, Shares};
use vanetally_quota::GrantorContact;
use vanetally_types::{Incarnation, Name, Tick};

/// While the store is away hosts tell the last grantor this often that they still ask it and nobody else, in
/// milliseconds: it goes on while nearly all of them do, and counts whom it heard within two seconds.
const FOLLOW_MS: u64 = 900;

/// This host's part in the limits of upstreams.
pub(crate) struct Limits {
    pub grantor: Grantor,
    pub contact: GrantorContact,
    shares: Shares,
    questions: Questions<PermitAnswer>,
    /// When the last grantor was told that this host still asks it.
    followed: Tick,
}

impl Limits {
    /// No limit is known.
    pub(crate) fn new(seed: u64) -> Self {
        Self {
            grantor: Grantor::default(),
            contact: GrantorContact::default(),
            shares: Shares::new(seed),
            questions: Questions::default(),
            followed: Tick(0),
        }
    }

    /// An upstream has gone.
    pub(crate) fn forget(&mut self, upstream: &Incarnation) {
        self.grantor.forget(upstream);
        self.shares.forget(upstream);
    }

    fn ask_alone(&mut self, now: Tick, question: &PermitRequest) -> PermitAnswer {
        let hosts = self.contact.max_hosts();
        self.shares.decide(now, question, hosts)
    }
}

impl Hub {
    /// Finds out when a request may go to an upstream in need, and tells the decisions.
    pub(crate) async fn permit(
        self: Rc<Self>,
        id: RequestId,
        reservation: u32,
        question: PermitRequest,
    ) {
        let (answer, by) = self.decide_permit(&question).await;
        telemetry::permitted(answer);
        // The grantor's words show in what is sent and refused; a host that decides alone explains what is missing there.
        let is_alone =
            by == self.settings.host && !self.tenure.borrow().is_holding(self.clock.now());
        let level = if is_alone { log::Level::Info } else { log::Level::Debug };
        log::log!(
            level,
            "event=permit upstream={} per_s={} most_ms={} answer={} by={by}",
            question.upstream,
            question.rate,
            question.max_wait_ms,
            answer.as_str()
        );
        self.request_event(dispatch::Event::PermitAnswered {
            id,
            reservation,
            request: question,
            answer,
        });
    }

    /// Decides on a question, and tells who did.
    async fn decide_permit(&self, question: &PermitRequest) -> (PermitAnswer, Name) {
        let own = &self.settings.host;
        let host = self.limits.borrow().contact.available_grantor(self.clock.now()).cloned();
        let answer = match &host {
            Some(host) if host == own => Some(self.permit_here(own, question)),
            Some(host) => self.ask_permit(host, question).await,
            None => None,
        };
        let now = self.clock.now();
        let mut limits = self.limits.borrow_mut();
        match (answer, host) {
            (Some(answer), Some(host)) if answer != PermitAnswer::NotGranting => {
                return (answer, host);
            }
            (Some(_), _) => limits.contact.mark_not_granting(now),
            (None, Some(host)) => limits.contact.mark_unanswered(now, &host),
            (None, None) => {}
        }
        (limits.ask_alone(now, question), own.clone())
    }

    async fn ask_permit(&self, host: &Name, question: &PermitRequest) -> Option<PermitAnswer> {
        let (number, answer) = self.limits.borrow_mut().questions.ask();
        let question = question.clone();
        self.send(host, &PeerMessage::Permit { number, question });
        let answer = grantor_answer(answer).await;
        if answer.is_none() {
            log::info!("event=grantor_silent host={host} after_ms={}", GRANTOR_ANSWER.as_millis());
        }
        answer
    }

    /// Decides on a question of `host`, as the one that grants.
    fn permit_here(&self, host: &Name, question: &PermitRequest) -> PermitAnswer {
        self.review_granting();
        let now = self.clock.now();
        self.quotas.borrow_mut().grantor.record_request(now, host);
        self.limits.borrow_mut().grantor.decide(now, question)
    }

    /// Another host asks.
    pub(crate) fn permit_for(&self, host: &Name, number: u64, question: &PermitRequest) {
        let answer = self.permit_here(host, question);
        self.send(host, &PeerMessage::Permitted { number, question: question.clone(), answer });
    }

    /// The grantor answered: what comes too late goes back to it.
    pub(crate) fn permitted(&self, number: u64, question: &PermitRequest, answer: PermitAnswer) {
        let late = self.limits.borrow_mut().questions.answered(number, answer);
        if matches!(late, Some(PermitAnswer::Granted { .. })) {
            self.return_permit(question.upstream.clone(), question.rate);
        }
    }

    /// What was granted did not go.
    pub(crate) fn return_permit(&self, upstream: Incarnation, rate: f64) {
        let holder = self.holder.borrow().clone();
        match holder {
            Some(host) if host == self.settings.host => {
                self.limits.borrow_mut().grantor.return_permit(&upstream, rate);
            }
            Some(host) => self.send(&host, &PeerMessage::ReturnPermit { upstream, rate }),
            // Nobody keeps the line that it stood in.
            None => {}
        }
    }

    /// While the store is away, tells the last grantor that this host asks nobody else.
    pub(crate) fn follow_grantor(&self) {
        let now = self.clock.now();
        let is_due = now.since(self.limits.borrow().followed) >= FOLLOW_MS;
        if !is_due || self.store.state() != StoreState::Away {
            return;
        }
        self.limits.borrow_mut().followed = now;
        let holder = self.holder.borrow().clone();
        match holder {
            Some(host) if host == self.settings.host => self.followed_by(&host),
            Some(host) => self.send(&host, &PeerMessage::Follows),
            None => {}
        }
    }

    /// A host asks this one and nobody else.
    pub(crate) fn followed_by(&self, host: &Name) {
        let now = self.clock.now();
        self.quotas.borrow_mut().grantor.record_request(now, host);
    }
}
