//! The queue over all hosts: what waits at other hosts, and which requests yield to it.
//!
//! Load: a burst above the capacity of some models or plain services that arrives at all hosts.
//!
//! Each host applies the order to its own requests, by the sums that it receives. Nothing is
//! granted: without recent reports a host serves its own queue.

use crate::{
    Dispatch, RefusalContext, RequestId, WaitRow,
    event::Action,
    forecast::{Ahead, Forecast, retry_after_ms},
    queue_order::{Place, Subject, Table},
    request::Request,
    shortage::ShortageKind,
    upstream::Upstream,
};
use std::collections::HashMap;
use vanetally_ports::{Refusal, RefusalCause};
use vanetally_types::{Name, Tick, Verdict};

/// A request that must be sent within this time to be on time comes before others of its rank.
const DUE_SOON_MS: u64 = 1_000;
/// A request is held back for at most its permitted waiting time divided by this.
const HOLD_DIVISOR: u64 = 2;
/// Expected time of an answer as a multiple of the average, so that one slower than the average is
/// still on time.
const ANSWER_MARGIN: f64 = 1.25;
/// Maximum expected time of an engine's first piece, as a share of the target: prompts that are
/// cached take less than the estimate.
const MAX_ENGINE_SHARE: f64 = 0.5;
const MILLIS_PER_SECOND: f64 = 1_000.0;

/// The queue over all hosts for one subject, as this host knows it.
#[derive(Clone, Debug)]
pub(crate) struct QueueView {
    /// Requests of other hosts.
    elsewhere: Table,
    /// Requests of all hosts.
    all: Table,
    /// Age of the reports of other hosts.
    age_ms: u64,
    /// Requests per second that all hosts send, once known.
    rate: Option<f64>,
}

impl QueueView {
    /// Returns the number of requests at other hosts that come before `place`, without those that
    /// were probably sent since the reports.
    fn yields_to(&self, place: Place) -> u32 {
        let sent = self.rate.unwrap_or(0.0) * self.age_ms as f64 / MILLIS_PER_SECOND;
        place.before(&self.elsewhere).saturating_sub(sent as u32)
    }
}

/// The views of the models of one service that have waiting requests at this host.
pub(crate) type QueueViews = HashMap<Option<Name>, QueueView>;

fn subject_of(request: &Request) -> Subject {
    let model = request.head.model.as_ref().map(|subject| subject.model.clone());
    (request.service.clone(), model)
}

impl Dispatch {
    /// Whether the order over all hosts applies to a service now. Where an owner grants the slots
    /// of a plain service, the owner orders its requests.
    pub(crate) fn shares_queue(&self, now: Tick, service: &Name) -> bool {
        self.options.shared_queue
            && self.shared_queue.has_reports(now)
            && !self.grants_slots(service)
    }

    /// Returns the expected time from sending a request to its answer, or to the first piece of a
    /// stream.
    fn expected_answer_ms(&self, request: &Request) -> u64 {
        if !self.is_engine(&request.service) {
            return (self.answer_ms(&request.service) as f64 * ANSWER_MARGIN) as u64;
        }
        let model = request.head.model.as_ref().map(|subject| &subject.model);
        let reading_ms = self.pace.reading_ms(model, request.head.prompt_tokens);
        let max_ms = request.route.target_ms as f64 * MAX_ENGINE_SHARE;
        (self.pace.base_ms(model) + reading_ms).min(max_ms) as u64
    }

    /// Returns the latest time at which a request can be sent to be on time.
    fn send_by(&self, request: &Request) -> Tick {
        request.arrived + request.route.target_ms.saturating_sub(self.expected_answer_ms(request))
    }

    fn place(&self, now: Tick, request: &Request) -> Place {
        let (rank, send_by) = (request.rank(), self.send_by(request));
        if now > send_by {
            return Place::Late { rank };
        }
        Place::OnTime { rank, has_slack: send_by.since(now) > DUE_SOON_MS }
    }

    /// Sorts the waiting requests of a service by the order over all hosts; within a place by the
    /// time at which they must be sent, late ones by deadline.
    pub(crate) fn sort_shared(&self, now: Tick, waiting: &mut [RequestId]) {
        waiting.sort_by_cached_key(|id| {
            self.requests.get(id).map(|request| match self.place(now, request) {
                place @ Place::OnTime { .. } => (place, self.send_by(request)),
                place @ Place::Late { .. } => (place, request.deadline),
            })
        });
    }

    /// Returns the views of a service with the waiting requests `ids`; none if the order over all
    /// hosts does not apply.
    pub(crate) fn queue_views(
        &mut self,
        now: Tick,
        service: &Name,
        ids: &[RequestId],
    ) -> QueueViews {
        if !self.shares_queue(now, service) {
            return QueueViews::new();
        }
        let own = self.own_tables(now, ids).into_iter();
        let views = own.map(|(subject, mut all)| {
            self.shared_queue.add_sent(now, &subject, &mut all);
            let elsewhere = self.shared_queue.elsewhere(now, &subject);
            for (rank, counts) in &elsewhere {
                all.entry(*rank).or_default().add(*counts);
            }
            let sent = all.values().map(|counts| counts.sent).sum();
            let rate = self.shared_queue.update_rate(now, &subject, sent);
            let age_ms = self.shared_queue.report_age_ms(now);
            (subject.1, QueueView { elsewhere, all, age_ms, rate })
        });
        views.collect()
    }

    /// Counts the waiting requests `ids` of this host.
    fn own_tables(&self, now: Tick, ids: &[RequestId]) -> HashMap<Subject, Table> {
        let mut tables: HashMap<Subject, Table> = HashMap::new();
        for request in ids.iter().filter_map(|id| self.requests.get(id)) {
            let place = self.place(now, request);
            let table = tables.entry(subject_of(request)).or_default();
            table.entry(place.rank()).or_default().add(place.counts());
        }
        tables
    }

    /// Whether a request that could be sent yields to others that wait at other hosts. It does not
    /// if free capacity remains for it, or if it was held back for long enough.
    pub(crate) fn yields(&self, now: Tick, id: RequestId, views: &QueueViews) -> bool {
        let Some((request, view)) = self.view_of(id, views) else {
            return false;
        };
        let yields_to = view.yields_to(self.place(now, request));
        if yields_to == 0 || self.free_capacity(now, request) > yields_to {
            return false;
        }
        let permitted_ms = request.wait_limit.since(request.arrived);
        request.held_since.is_none_or(|since| now.since(since) < permitted_ms / HOLD_DIVISOR)
    }

    /// Records that a request is held back.
    pub(crate) fn hold_back(&mut self, now: Tick, id: RequestId) {
        if let Some(request) = self.requests.get_mut(&id).filter(|r| r.held_since.is_none()) {
            request.held_since = Some(now);
            self.shared_queue.held += 1;
        }
    }

    fn view_of<'a>(
        &self,
        id: RequestId,
        views: &'a QueueViews,
    ) -> Option<(&Request, &'a QueueView)> {
        let request = self.requests.get(&id)?;
        let model = request.head.model.as_ref().map(|subject| subject.model.clone());
        Some((request, views.get(&model)?))
    }

    /// Returns how many requests like this one the upstreams could take at once: one prompt for
    /// each engine, the free slots of plain upstreams.
    fn free_capacity(&self, now: Tick, request: &Request) -> u32 {
        let free =
            |upstream: &Upstream| upstream.state.slots.saturating_sub(upstream.total(now).running);
        let is_open = |upstream: &&Upstream| {
            let is_paused = now < upstream.paced_until || now < upstream.full_until;
            upstream.accepts_now(now) && !is_paused && request.fits(upstream)
        };
        let open = |id| self.upstreams.get(id).filter(is_open);
        let Some(subject) = &request.head.model else {
            let upstreams = self.directory.upstreams_of(&request.service);
            return upstreams.filter_map(open).map(free).sum();
        };
        let holders = self.directory.holders(&request.service, &subject.model).filter_map(open);
        holders.filter(|upstream| upstream.holds(subject, now)).map(|u| free(u).min(1)).sum()
    }

    /// Returns the forecast for a request, once the rate is known.
    fn forecast(&self, now: Tick, request: &Request, view: &QueueView) -> Option<Forecast> {
        let (rate, place, send_by) = (view.rate?, self.place(now, request), self.send_by(request));
        let ahead = place.ahead(&view.all);
        let since = if let Place::Late { .. } = place { send_by } else { request.arrived };
        let wait_ms = ahead.wait_ms(rate, now.since(since));
        let is_on_time = now + wait_ms <= send_by;
        let more_ms = match place {
            Place::OnTime { rank, .. } if !is_on_time => {
                let late = Place::Late { rank };
                let equal = ahead.unsent_after(rate, send_by.since(now)) + late.equal(&view.all);
                Ahead { before: 0, equal, share: late.share(&view.all) }.wait_ms(rate, 0)
            }
            _ => 0,
        };
        Some(ahead.forecast(rate, wait_ms + more_ms))
    }

    /// Refuses a request that did not run if its forecast exceeds the time that it may still wait.
    /// `shortage` is what prevents it from being sent, `None` if it is held back.
    pub(crate) fn refuse_by_forecast(
        &mut self,
        now: Tick,
        id: RequestId,
        views: &QueueViews,
        shortage: Option<ShortageKind>,
        actions: &mut Vec<Action>,
    ) -> bool {
        let is_full =
            shortage.is_none_or(|kind| kind.is_saturation() || kind == ShortageKind::TurnedAway);
        let Some((request, view)) = self.view_of(id, views).filter(|_| is_full) else {
            return false;
        };
        let Some(forecast) = self.forecast(now, request, view) else {
            return false;
        };
        let is_futile = forecast.turn_ms > request.remaining_wait_ms(now);
        let is_refused = is_futile && request.verdict == Verdict::NotRun;
        let (subject, hosts) = (subject_of(request), self.hosts as u32);
        let Some(request) = self.requests.get_mut(&id) else {
            return false;
        };
        request.forecast = Some(forecast);
        if !is_refused {
            return false;
        }
        let refused = self.shared_queue.refused.entry(subject).or_default();
        let refused_before = refused.count(now).saturating_mul(hosts);
        refused.record(now);
        let retry_ms = retry_after_ms(forecast, refused_before, &request.head.id);
        let context = RefusalContext::from(&*request);
        let context = RefusalContext { forecast: Some(forecast), ..context };
        let refusal = Refusal::not_run(RefusalCause::Overloaded, Some(retry_ms));
        self.end(id);
        actions.push(Action::Refuse { id, refusal, context });
        true
    }

    /// Records a request that is sent.
    pub(crate) fn record_sent(&mut self, now: Tick, id: RequestId) {
        if !self.options.shared_queue {
            return;
        }
        if let Some(request) = self.requests.get(&id) {
            let is_late = matches!(self.place(now, request), Place::Late { .. });
            let (subject, rank) = (subject_of(request), request.rank());
            self.shared_queue.record_sent(now, subject, rank, is_late);
        }
    }

    /// Returns this host's rows for other hosts: those of models for which requests wait here or
    /// elsewhere.
    pub(crate) fn wait_rows(&mut self, now: Tick) -> Vec<WaitRow> {
        if !self.options.shared_queue {
            return Vec::new();
        }
        self.shared_queue.prune(now);
        let mut tables: HashMap<Subject, Table> = HashMap::new();
        for service in self.queue.services() {
            tables.extend(self.own_tables(now, &self.queue.waiting(&service)));
        }
        let reports = self.shared_queue.recent(now);
        let elsewhere = reports
            .flat_map(|report| &report.subjects)
            .filter(|(_, rows)| rows.iter().any(|(_, counts)| counts.waiting() > 0));
        for (subject, _) in
            elsewhere.filter(|(subject, _)| self.shared_queue.sent.contains_key(*subject))
        {
            tables.entry(subject.clone()).or_default();
        }
        let mut rows = Vec::new();
        for ((service, model), mut table) in tables {
            let subject = (service, model);
            self.shared_queue.add_sent(now, &subject, &mut table);
            let (service, model) = subject;
            rows.extend(table.into_iter().map(|(rank, counts)| WaitRow {
                service: service.clone(),
                model: model.clone(),
                rank,
                counts,
            }));
        }
        rows.sort_by(|a, b| (&a.service, &a.model, a.rank).cmp(&(&b.service, &b.model, b.rank)));
        rows
    }
}
