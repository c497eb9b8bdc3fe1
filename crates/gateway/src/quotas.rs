//! Charges requests to the quotas of organisations by asking the grantor, and decides when this
//! host is the grantor.

use crate::{
    capabilities::Capabilities, charge::Charge, hub::Hub, peers::PeerMessage,
    quota_query::OpenQuery, telemetry,
};
use std::{collections::HashMap, rc::Rc};
use tokio::sync::Notify;
use vanetally_fanout::StoreState;
use vanetally_ports::{CallerRequest, Configuration, Quota, Refusal, RefusalCause};
use vanetally_quota::{
    Asker, Authority, Bounds, Decision, Grantor, Guards, QuotaAnswer, QuotaClient, Rank, Received,
    Reply, Return, SpendQueries, SpendQuery, SpendRequest,
};
use vanetally_types::{Name, Tick};

/// Retry hint when the quota can't be checked: a new grantor takes over within two to three
/// seconds.
const UNKNOWN_RETRY_MS: u64 = 1_000;

/// The part of the time left to the objective for which a request waits for quota; the rest is for
/// its answer.
const WAIT_DIVISOR: u64 = 2;

/// How a request waits for quota.
#[derive(Clone, Copy)]
struct QuotaWait {
    rank: Rank,
    /// When a grant is no longer of use.
    until: Tick,
}

/// This host's quota state, as client and as grantor.
pub(crate) struct Quotas {
    pub grantor: Grantor,
    pub client: QuotaClient,
    pub queries: SpendQueries,
    /// Wakes the requests whose queries were answered.
    pub answered: HashMap<u64, Rc<Notify>>,
}

impl Quotas {
    /// Creates the state without any quotas; `waits` is whether requests may wait for quota.
    pub(crate) fn new(bounds: Bounds, seed: u64, waits: bool) -> Self {
        let grantor = if waits { Grantor::with_queue(Guards::ON) } else { Grantor::default() };
        // Without the setting, late answers are dropped as in earlier builds.
        let guards = if waits { Guards::ON } else { Guards::OFF };
        let queries = SpendQueries::new(seed / 2, guards);
        let client = QuotaClient::new(bounds, seed);
        Self { grantor, client, queries, answered: HashMap::new() }
    }

    /// Applies the quotas of a configuration.
    pub(crate) fn configure(&mut self, now: Tick, configuration: &Configuration) {
        let organisations = configuration.organisations.iter().flatten();
        let quotas: HashMap<Name, Quota> =
            organisations.filter_map(|one| Some((one.name.clone(), one.quota?))).collect();
        self.client.configure(now, &quotas);
        self.grantor.configure(now, quotas);
    }

    /// Number of requests that await an answer of the grantor.
    pub(crate) fn open_queries(&self) -> usize {
        self.answered.len()
    }
}

impl Hub {
    /// Charges the cost of `head` to its organisation's quota, or returns the refusal. `None` if no
    /// quota applies.
    pub(crate) async fn charge(
        self: &Rc<Self>,
        organisation: Name,
        head: &CallerRequest,
    ) -> Result<Option<Charge>, Refusal> {
        let tokens = head.has_token_count.then_some(head.prompt_tokens + head.output_tokens);
        let Some(cost) = self.quotas.borrow().client.cost(&organisation, tokens) else {
            return Ok(None);
        };
        let began = self.clock.now();
        let wait = self.quota_wait(head);
        let (decision, by) = self.decide(&organisation, cost, wait).await;
        let waited_ms = self.clock.now().since(began);
        let refusal = match decision {
            Decision::Granted => {
                log::debug!(
                    "event=quota_granted request={} organisation={organisation} cost={cost} by={by} waited_ms={waited_ms}",
                    head.id
                );
                return Ok(Some(Charge::new(self.clone(), organisation, cost)));
            }
            Decision::Refused { retry_ms } => {
                Refusal::not_run(RefusalCause::OverQuota, Some(retry_ms))
            }
            Decision::Unknown => {
                Refusal::not_run(RefusalCause::QuotaUnknown, Some(UNKNOWN_RETRY_MS))
            }
        };
        log::info!(
            "event=quota_refused request={} organisation={organisation} cost={cost} by={by} cause={} retry_after_ms={} waited_ms={waited_ms}",
            head.id,
            refusal.cause.as_str(),
            refusal.retry_after_ms.unwrap_or(0)
        );
        Err(refusal)
    }

    /// Returns how long `head` may wait for quota, and its urgency; `None` if no request waits.
    fn quota_wait(&self, head: &CallerRequest) -> Option<QuotaWait> {
        if !self.settings.scheduling.quota_wait {
            return None;
        }
        let now = self.clock.now();
        let terms = self.dispatch.borrow().quota_terms(now, head)?;
        Some(QuotaWait { rank: terms.rank, until: now + terms.objective_ms / WAIT_DIVISOR })
    }

    /// Returns the decision on a request and the host that made it.
    async fn decide(
        self: &Rc<Self>,
        organisation: &Name,
        cost: u32,
        wait: Option<QuotaWait>,
    ) -> (Decision, Name) {
        let own = &self.settings.host;
        let mut former: Option<Name> = None;
        loop {
            let now = self.clock.now();
            let authority = self.quotas.borrow().client.authority(now, organisation);
            let host = match authority {
                Authority::Unlimited => return (Decision::Granted, own.clone()),
                Authority::Grantor(host) if former.as_ref() != Some(&host) => host,
                Authority::Grantor(_) | Authority::Local => {
                    let client = &mut self.quotas.borrow_mut().client;
                    return (client.decide_locally(now, organisation, cost), own.clone());
                }
            };
            let answer = self.ask_grantor(&host, organisation, cost, wait).await;
            let now = self.clock.now();
            let client = &mut self.quotas.borrow_mut().client;
            let is_silent = matches!(answer, None | Some(QuotaAnswer::NotGranting));
            let is_replaced = client.grantor(now).is_some_and(|grantor| *grantor != host);
            if is_silent && wait.is_some() && is_replaced && former.is_none() {
                former = Some(host);
                continue;
            }
            let decision = match answer {
                Some(answer) => client.handle_answer(now, organisation, cost, answer),
                None => client.handle_no_answer(now, &host, organisation, cost),
            };
            return (decision, if is_silent { own.clone() } else { host });
        }
    }

    /// Asks the grantor, which may be this host; `None` if it does not answer in time.
    async fn ask_grantor(
        self: &Rc<Self>,
        host: &Name,
        organisation: &Name,
        cost: u32,
        wait: Option<QuotaWait>,
    ) -> Option<QuotaAnswer> {
        let query = self.register_query(host, organisation, cost, wait);
        let (organisation, rank) = (organisation.clone(), wait.map(|wait| wait.rank));
        let (number, wait_ms) = (query.number, query.wait_ms);
        if *host == self.settings.host {
            let asker = Asker { host: host.clone(), number };
            let answer = self.grant(SpendRequest { asker, organisation, cost, rank, wait_ms });
            self.spent(host, number, answer);
            self.send_quota_replies();
        } else {
            self.send(host, &PeerMessage::Spend { number, organisation, cost, rank, wait_ms });
        }
        let answer = query.answer().await;
        if answer.is_none() {
            let after_ms = self.clock.now().since(query.asked_at);
            log::info!("event=grantor_silent host={host} after_ms={after_ms}");
        }
        answer
    }

    fn register_query(
        self: &Rc<Self>,
        host: &Name,
        organisation: &Name,
        cost: u32,
        wait: Option<QuotaWait>,
    ) -> OpenQuery {
        let now = self.clock.now();
        let wait_ms = wait.map_or(0, |wait| wait.until.since(now));
        let capabilities = self.peers.borrow().get(host).map(|entry| entry.capabilities);
        let can_cancel = *host == self.settings.host
            || capabilities.is_some_and(|known| known.includes(Capabilities::QUOTA_WAIT));
        let (grantor, organisation) = (host.clone(), organisation.clone());
        let query = SpendQuery { grantor, organisation, cost, wait_ms, can_cancel };
        let quotas = &mut self.quotas.borrow_mut();
        let number = quotas.queries.ask(now, query);
        let answered = Rc::new(Notify::new());
        quotas.answered.insert(number, answered.clone());
        OpenQuery { hub: self.clone(), number, wait_ms, asked_at: now, answered }
    }

    /// Answers a spend request as the grantor.
    fn grant(&self, request: SpendRequest) -> QuotaAnswer {
        self.update_granting();
        let now = self.clock.now();
        let grantor = &mut self.quotas.borrow_mut().grantor;
        grantor.record_client(now, &request.asker.host);
        grantor.request(now, request)
    }

    /// Answers a spend request of another host.
    pub(crate) fn spend_for_peer(&self, request: SpendRequest) {
        let Asker { host, number } = request.asker.clone();
        let answer = self.grant(request);
        self.send(&host, &PeerMessage::Spent { number, answer });
        self.send_quota_replies();
    }

    /// Answers the requests that wait at this host, the grantor, and whose turn or end has come.
    pub(crate) fn serve_quota(&self) {
        let now = self.clock.now();
        self.quotas.borrow_mut().grantor.serve(now);
        self.send_quota_replies();
    }

    /// Sends the answers to requests that have waited.
    fn send_quota_replies(&self) {
        let replies = self.quotas.borrow_mut().grantor.take_replies();
        for Reply { to: Asker { host, number }, answer } in replies {
            match host == self.settings.host {
                true => self.spent(&host, number, answer),
                false => self.send(&host, &PeerMessage::Spent { number, answer }),
            }
        }
    }

    /// Handles the answer of the grantor `from`.
    pub(crate) fn spent(&self, from: &Name, number: u64, answer: QuotaAnswer) {
        let now = self.clock.now();
        let received = {
            let quotas = &mut self.quotas.borrow_mut();
            let received = quotas.queries.answered(now, from, number, answer);
            if let Some(answered) = quotas.answered.get(&number) {
                answered.notify_one();
            }
            received
        };
        if let Received::Unused(returned) = received {
            telemetry::quota_grant_returned();
            log::info!("event=quota_grant_returned host={from} number={number}");
            self.return_grant(returned);
        }
    }

    /// Returns a grant, or gives up a wait.
    pub(crate) fn return_grant(&self, returned: Return) {
        let own = &self.settings.host;
        match returned {
            Return::Cancel { grantor, number } if grantor == *own => {
                self.cancel_spend(own, number);
            }
            Return::Cancel { grantor, number } => {
                self.send(&grantor, &PeerMessage::CancelSpend { number });
            }
            Return::GiveBack { grantor, organisation, cost } => {
                self.send(&grantor, &PeerMessage::GiveBack { organisation, cost });
            }
        }
    }

    /// Handles the cancellation of a request by its host, as the grantor.
    pub(crate) fn cancel_spend(&self, host: &Name, number: u64) {
        let now = self.clock.now();
        let asker = Asker { host: host.clone(), number };
        self.quotas.borrow_mut().grantor.cancel(now, &asker);
    }

    /// Logs, as the grantor, what became of the requests that waited for quota, and of the refused
    /// ones, since the last call.
    pub(crate) fn log_quota_queues(&self) {
        let grantor = &mut self.quotas.borrow_mut().grantor;
        telemetry::quota_waiting(grantor.waiting());
        for (organisation, counts, waiting) in grantor.take_counts() {
            log::info!(
                "event=quota_queue organisation={organisation} waiting={waiting} queued={} granted={} displaced={} cancelled={} refused={}",
                counts.queued,
                counts.granted,
                counts.displaced,
                counts.cancelled,
                counts.refused
            );
        }
    }

    pub(crate) fn refund(&self, organisation: &Name, cost: u32) {
        let holder = self.holder.borrow().clone();
        match holder {
            Some(host) if host == self.settings.host => {
                self.quotas.borrow_mut().grantor.refund(organisation, cost);
            }
            Some(host) => {
                let organisation = organisation.clone();
                self.send(&host, &PeerMessage::GiveBack { organisation, cost });
            }
            // Without a grantor there is no balance to return it to.
            None => {}
        }
    }

    /// Updates whether this host is a grantor: while it holds the order lease, or was the last
    /// holder and the store is unreachable, so that no other host can take the lease.
    pub(crate) fn update_granting(&self) {
        let now = self.clock.now();
        let is_holder = self.order_lease.borrow().is_holding(now);
        let is_last = *self.holder.borrow() == Some(self.settings.host.clone());
        let is_away = is_last && self.store.state() == StoreState::Away;
        let hosts = self.peers.borrow().len();
        let grantor = &mut self.quotas.borrow_mut().grantor;
        let continues = !is_holder && is_away && grantor.may_continue(now, hosts);
        grantor.set_granting(now, is_holder || continues);
        self.limits.borrow_mut().grantor.set_granting(now, is_holder || continues);
    }
}
