//! Requests permits for rate-limited upstreams, and grants them when this host is the grantor.

use crate::{
    hub::Hub,
    peers::PeerMessage,
    queries::{GRANTOR_TIMEOUT, PendingQueries, await_grantor},
    telemetry,
};
use std::rc::Rc;
use vanetally_dispatch::{self as dispatch, RequestId};
use vanetally_fanout::StoreState;
use vanetally_limit::{Grantor, PermitAnswer, PermitRequest, Shares};
use vanetally_quota::GrantorContact;
use vanetally_types::{Incarnation, Name, Tick};

/// Interval at which hosts inform the last grantor, while the store is unreachable, that they still
/// ask it and no other host. The grantor continues while nearly all hosts do so, counting those
/// whose messages it received within two seconds.
const FOLLOWS_INTERVAL_MS: u64 = 900;

/// This host's state for upstream rate limits, as client and as grantor.
pub(crate) struct Limits {
    pub grantor: Grantor,
    pub contact: GrantorContact,
    shares: Shares,
    queries: PendingQueries<PermitAnswer>,
    /// When [`PeerMessage::FollowsGrantor`] was last sent.
    last_follows_sent: Tick,
}

impl Limits {
    /// Creates the state without any known limits.
    pub(crate) fn new(seed: u64) -> Self {
        Self {
            grantor: Grantor::default(),
            contact: GrantorContact::default(),
            shares: Shares::new(seed),
            queries: PendingQueries::default(),
            last_follows_sent: Tick(0),
        }
    }

    /// Removes an upstream.
    pub(crate) fn forget(&mut self, upstream: &Incarnation) {
        self.grantor.forget(upstream);
        self.shares.forget(upstream);
    }

    fn decide_locally(&mut self, now: Tick, request: &PermitRequest) -> PermitAnswer {
        let hosts = self.contact.max_hosts();
        self.shares.decide(now, request, hosts)
    }
}

impl Hub {
    /// Obtains the send time of a request to a rate-limited upstream and passes it to the
    /// dispatcher.
    pub(crate) async fn obtain_permit(
        self: Rc<Self>,
        id: RequestId,
        reservation: u32,
        request: PermitRequest,
    ) {
        let (answer, by) = self.decide_permit(&request).await;
        telemetry::permit_answered(answer);
        // The grantor's answers show in the logs of sent and refused requests. Local decisions are
        // logged at info level because they explain requests that the grantor does not account for.
        let is_alone =
            by == self.settings.host && !self.order_lease.borrow().is_holding(self.clock.now());
        let level = if is_alone { log::Level::Info } else { log::Level::Debug };
        log::log!(
            level,
            "event=permit upstream={} per_s={} most_ms={} answer={} by={by}",
            request.upstream,
            request.rate,
            request.max_wait_ms,
            answer.as_str()
        );
        self.request_event(dispatch::Event::PermitAnswered { id, reservation, request, answer });
    }

    /// Returns the answer to a permit request and the host that decided.
    async fn decide_permit(&self, request: &PermitRequest) -> (PermitAnswer, Name) {
        let own = &self.settings.host;
        let host = self.limits.borrow().contact.available_grantor(self.clock.now()).cloned();
        let answer = match &host {
            Some(host) if host == own => Some(self.grant_permit(own, request)),
            Some(host) => self.ask_permit(host, request).await,
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
        (limits.decide_locally(now, request), own.clone())
    }

    async fn ask_permit(&self, host: &Name, request: &PermitRequest) -> Option<PermitAnswer> {
        let (number, answer) = self.limits.borrow_mut().queries.register();
        let request = request.clone();
        self.send(host, &PeerMessage::Permit { number, request });
        let answer = await_grantor(answer).await;
        if answer.is_none() {
            self.limits.borrow_mut().queries.forget(number);
            log::info!("event=grantor_silent host={host} after_ms={}", GRANTOR_TIMEOUT.as_millis());
        }
        answer
    }

    /// Answers a permit request of `host` as the grantor.
    fn grant_permit(&self, host: &Name, request: &PermitRequest) -> PermitAnswer {
        self.update_granting();
        let now = self.clock.now();
        self.quotas.borrow_mut().grantor.record_client(now, host);
        self.limits.borrow_mut().grantor.decide(now, request)
    }

    /// Answers a permit request of another host.
    pub(crate) fn permit_for_peer(&self, host: &Name, number: u64, request: &PermitRequest) {
        let answer = self.grant_permit(host, request);
        self.send(host, &PeerMessage::Permitted { number, request: request.clone(), answer });
    }

    /// Handles the grantor's answer; a permit that arrives too late is returned.
    pub(crate) fn permitted(&self, number: u64, request: &PermitRequest, answer: PermitAnswer) {
        let late = self.limits.borrow_mut().queries.answered(number, answer);
        if matches!(late, Some(PermitAnswer::Granted { .. })) {
            self.return_permit(request.upstream.clone(), request.rate);
        }
    }

    /// Returns a permit that was not used.
    pub(crate) fn return_permit(&self, upstream: Incarnation, rate: f64) {
        let holder = self.holder.borrow().clone();
        match holder {
            Some(host) if host == self.settings.host => {
                self.limits.borrow_mut().grantor.return_permit(&upstream, rate);
            }
            Some(host) => self.send(&host, &PeerMessage::ReturnPermit { upstream, rate }),
            // Without a grantor there is no schedule to return the permit to.
            None => {}
        }
    }

    /// While the store is unreachable, informs the last grantor that this host asks no other host.
    pub(crate) fn send_follows(&self) {
        let now = self.clock.now();
        let is_due = now.since(self.limits.borrow().last_follows_sent) >= FOLLOWS_INTERVAL_MS;
        if !is_due || self.store.state() != StoreState::Away {
            return;
        }
        self.limits.borrow_mut().last_follows_sent = now;
        let holder = self.holder.borrow().clone();
        match holder {
            Some(host) if host == self.settings.host => self.record_client(&host),
            Some(host) => self.send(&host, &PeerMessage::FollowsGrantor),
            None => {}
        }
    }

    /// Records that `host` asks this grantor and no other.
    pub(crate) fn record_client(&self, host: &Name) {
        let now = self.clock.now();
        self.quotas.borrow_mut().grantor.record_client(now, host);
    }
}
