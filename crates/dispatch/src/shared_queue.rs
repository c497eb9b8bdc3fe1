//! The queue over all hosts: what waits at other hosts, and which requests yield to it.
//!
//! Each host applies the order to its own requests, by the sums that it receives. Nothing is
//! granted: without recent reports a host serves its own queue.

use crate::{
    Dispatch, RefusalContext, RequestId, WaitCounts, WaitRow,
    event::Action,
    forecast::{Ahead, Forecast, RecentCount, SendRate, retry_after_ms},
    request::Request,
    shortage::ShortageKind,
    upstream::Upstream,
};
use std::collections::{BTreeMap, HashMap};
use vanetally_ports::{Refusal, RefusalCause};
use vanetally_types::{Name, Tick, Verdict};

/// Age up to which reports of other hosts are used.
const MAX_REPORT_AGE_MS: u64 = 300;
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

type Rank = (u8, u8);
/// A service, and a model if it is served by engines.
type Subject = (Name, Option<Name>);
/// Counts of one subject by rank.
type Table = BTreeMap<Rank, WaitCounts>;

/// Place of a request in the order over all hosts; the smaller one is sent first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Place {
    /// It can be on time.
    OnTime { rank: Rank, has_slack: bool },
    /// Any answer would be late.
    Late { rank: Rank },
}

impl Place {
    fn counts(self) -> WaitCounts {
        match self {
            Self::OnTime { has_slack, .. } => {
                WaitCounts { on_time: 1, due_soon: u32::from(!has_slack), ..Default::default() }
            }
            Self::Late { .. } => WaitCounts { late: 1, ..Default::default() },
        }
    }

    fn rank(self) -> Rank {
        match self {
            Self::OnTime { rank, .. } | Self::Late { rank } => rank,
        }
    }

    /// Returns the number of requests in `table` that come before this place.
    fn before(self, table: &Table) -> u32 {
        let on_time = |ranks: &mut dyn Iterator<Item = (&Rank, &WaitCounts)>| -> u32 {
            ranks.map(|(_, counts)| counts.on_time).sum()
        };
        match self {
            Self::OnTime { rank, has_slack } => {
                let due_soon = table.get(&rank).map_or(0, |counts| counts.due_soon);
                on_time(&mut table.range(..rank)) + if has_slack { due_soon } else { 0 }
            }
            Self::Late { rank } => {
                let late: u32 = table.range(..rank).map(|(_, counts)| counts.late).sum();
                on_time(&mut table.iter()) + late
            }
        }
    }

    /// Returns the number of requests in `table` at this place.
    fn equal(self, table: &Table) -> u32 {
        let counts = table.get(&self.rank()).copied().unwrap_or_default();
        match self {
            Self::OnTime { has_slack: false, .. } => counts.due_soon,
            Self::OnTime { has_slack: true, .. } => counts.on_time.saturating_sub(counts.due_soon),
            Self::Late { .. } => counts.late,
        }
    }

    /// Returns the share of the sent requests in `table` that were at this place or after it.
    fn share(self, table: &Table) -> f64 {
        let all: u32 = table.values().map(|counts| counts.sent).sum();
        let sent: u32 = match self {
            Self::OnTime { rank, .. } => {
                let before = table.range(..rank);
                let first = before.map(|(_, counts)| counts.sent.saturating_sub(counts.sent_late));
                all.saturating_sub(first.sum())
            }
            Self::Late { rank } => table.range(rank..).map(|(_, counts)| counts.sent_late).sum(),
        };
        f64::from(sent) / f64::from(all.max(1))
    }

    fn ahead(self, table: &Table) -> Ahead {
        let equal = self.equal(table).saturating_sub(1);
        Ahead { before: self.before(table), equal, share: self.share(table) }
    }
}

/// The waiting requests that one host reported.
#[derive(Clone, Debug)]
struct Report {
    at: Tick,
    subjects: HashMap<Subject, Vec<(Rank, WaitCounts)>>,
}

/// Requests of one rank that this host sent.
#[derive(Clone, Copy, Debug, Default)]
struct SentCount {
    all: RecentCount,
    late: RecentCount,
}

/// What a host knows of the queue over all hosts.
#[derive(Clone, Debug, Default)]
pub(crate) struct SharedQueue {
    reports: BTreeMap<Name, Report>,
    sent: HashMap<Subject, BTreeMap<Rank, SentCount>>,
    /// Requests of this host that were refused because of their forecast.
    refused: HashMap<Subject, RecentCount>,
    rates: HashMap<Subject, SendRate>,
    /// Number of requests that were held back.
    pub held: u64,
}

impl SharedQueue {
    /// Replaces the rows that another host reported.
    pub(crate) fn record_report(&mut self, now: Tick, host: &Name, rows: &[WaitRow]) {
        let mut subjects: HashMap<Subject, Vec<(Rank, WaitCounts)>> = HashMap::new();
        for row in rows {
            let subject = (row.service.clone(), row.model.clone());
            subjects.entry(subject).or_default().push((row.rank, row.counts));
        }
        self.reports.insert(host.clone(), Report { at: now, subjects });
    }

    pub(crate) fn forget_host(&mut self, host: &Name) {
        self.reports.remove(host);
    }

    /// Returns the number of requests that wait at other hosts, by their last reports.
    pub(crate) fn waiting_elsewhere(&self) -> u32 {
        let rows = self.reports.values().flat_map(|report| report.subjects.values().flatten());
        rows.map(|(_, counts)| counts.waiting()).sum()
    }

    fn recent(&self, now: Tick) -> impl Iterator<Item = &Report> {
        self.reports.values().filter(move |report| now.since(report.at) <= MAX_REPORT_AGE_MS)
    }

    fn has_reports(&self, now: Tick) -> bool {
        self.recent(now).next().is_some()
    }

    /// Returns the rows of other hosts for `subject`.
    fn elsewhere(&self, now: Tick, subject: &Subject) -> Table {
        let mut table = Table::new();
        let rows = self.recent(now).filter_map(|report| report.subjects.get(subject)).flatten();
        for (rank, counts) in rows {
            table.entry(*rank).or_default().add(*counts);
        }
        table
    }

    /// Returns the mean age of the reports of other hosts.
    fn report_age_ms(&self, now: Tick) -> u64 {
        let (count, sum) = self
            .recent(now)
            .fold((0, 0), |(count, sum), report| (count + 1, sum + now.since(report.at)));
        sum / u64::max(count, 1)
    }

    fn record_sent(&mut self, now: Tick, subject: Subject, rank: Rank, is_late: bool) {
        let sent = self.sent.entry(subject).or_default().entry(rank).or_default();
        sent.all.record(now);
        if is_late {
            sent.late.record(now);
        }
    }

    /// Adds the requests that this host sent in the last second.
    fn add_sent(&self, now: Tick, subject: &Subject, table: &mut Table) {
        for (rank, sent) in self.sent.get(subject).into_iter().flatten() {
            let (sent, sent_late) = (sent.all.count(now), sent.late.count(now));
            let counts = WaitCounts { sent, sent_late, ..Default::default() };
            if !counts.is_empty() {
                table.entry(*rank).or_default().add(counts);
            }
        }
    }

    fn update_rate(&mut self, now: Tick, subject: &Subject, sent: u32) -> Option<f64> {
        let rate = self.rates.entry(subject.clone()).or_insert_with(|| SendRate::new(now, sent));
        rate.update(now, sent);
        rate.known(now)
    }

    /// Removes what is older than a second.
    fn prune(&mut self, now: Tick) {
        self.sent.retain(|_, ranks| ranks.values().any(|sent| sent.all.count(now) > 0));
        self.refused.retain(|_, refused| refused.count(now) > 0);
        self.rates.retain(|_, rate| !rate.is_expired(now));
    }
}

/// The queue over all hosts for one subject, as this host knows it.
#[derive(Clone, Debug)]
pub(crate) struct Line {
    /// Requests of other hosts.
    elsewhere: Table,
    /// Requests of all hosts.
    all: Table,
    /// Age of the reports of other hosts.
    age_ms: u64,
    /// Requests per second that all hosts send, once known.
    rate: Option<f64>,
}

impl Line {
    /// Returns the number of requests at other hosts that come before `place`, without those that
    /// were probably sent since the reports.
    fn yields_to(&self, place: Place) -> u32 {
        let sent = self.rate.unwrap_or(0.0) * self.age_ms as f64 / 1_000.0;
        place.before(&self.elsewhere).saturating_sub(sent as u32)
    }
}

/// The lines of the models of one service that have waiting requests at this host.
pub(crate) type Lines = HashMap<Option<Name>, Line>;

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
            let times = self.answer_times.get(&request.service);
            return (times.map_or(0, |times| times.mean_ms()) as f64 * ANSWER_MARGIN) as u64;
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

    /// Returns the lines of a service with the waiting requests `ids`; none if the order over all
    /// hosts does not apply.
    pub(crate) fn lines(&mut self, now: Tick, service: &Name, ids: &[RequestId]) -> Lines {
        if !self.shares_queue(now, service) {
            return Lines::new();
        }
        let own = self.own_tables(now, ids).into_iter();
        let lines = own.map(|(subject, mut all)| {
            self.shared_queue.add_sent(now, &subject, &mut all);
            let elsewhere = self.shared_queue.elsewhere(now, &subject);
            for (rank, counts) in &elsewhere {
                all.entry(*rank).or_default().add(*counts);
            }
            let sent = all.values().map(|counts| counts.sent).sum();
            let rate = self.shared_queue.update_rate(now, &subject, sent);
            let age_ms = self.shared_queue.report_age_ms(now);
            (subject.1, Line { elsewhere, all, age_ms, rate })
        });
        lines.collect()
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
    pub(crate) fn yields(&self, now: Tick, id: RequestId, lines: &Lines) -> bool {
        let Some((request, line)) = self.line_of(id, lines) else {
            return false;
        };
        let yields_to = line.yields_to(self.place(now, request));
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

    fn line_of<'a>(&self, id: RequestId, lines: &'a Lines) -> Option<(&Request, &'a Line)> {
        let request = self.requests.get(&id)?;
        let model = request.head.model.as_ref().map(|subject| subject.model.clone());
        Some((request, lines.get(&model)?))
    }

    /// Returns how many requests like this one the upstreams could take at once: one prompt for
    /// each engine, the free slots of plain upstreams.
    fn free_capacity(&self, now: Tick, request: &Request) -> u32 {
        let free =
            |upstream: &Upstream| upstream.state.slots.saturating_sub(upstream.total(now).running);
        let is_open = |upstream: &&Upstream| {
            upstream.accepts_now(now) && now >= upstream.paced_until && now >= upstream.full_until
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
    fn forecast(&self, now: Tick, request: &Request, line: &Line) -> Option<Forecast> {
        let (rate, place, send_by) = (line.rate?, self.place(now, request), self.send_by(request));
        let ahead = place.ahead(&line.all);
        let since = if let Place::Late { .. } = place { send_by } else { request.arrived };
        let wait_ms = ahead.wait_ms(rate, now.since(since));
        let is_on_time = now + wait_ms <= send_by;
        let more_ms = match place {
            Place::OnTime { rank, .. } if !is_on_time => {
                let late = Place::Late { rank };
                let equal = ahead.unsent_after(rate, send_by.since(now)) + late.equal(&line.all);
                Ahead { before: 0, equal, share: late.share(&line.all) }.wait_ms(rate, 0)
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
        lines: &Lines,
        shortage: Option<ShortageKind>,
        actions: &mut Vec<Action>,
    ) -> bool {
        let is_full =
            shortage.is_none_or(|kind| kind.is_saturation() || kind == ShortageKind::TurnedAway);
        let Some((request, line)) = self.line_of(id, lines).filter(|_| is_full) else {
            return false;
        };
        let Some(forecast) = self.forecast(now, request, line) else {
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
