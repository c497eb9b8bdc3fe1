//! Charges requests to the quotas of organisations by asking the grantor, and decides when this
//! host is the grantor.

use crate::{
    hub::Hub,
    peers::PeerMessage,
    queries::{GRANTOR_TIMEOUT, PendingQueries, await_grantor},
};
use std::{cell::Cell, collections::HashMap, rc::Rc};
use vanetally_dispatch::AttemptEnd;
use vanetally_fanout::StoreState;
use vanetally_ports::{CallerRequest, Configuration, Quota, Refusal, RefusalCause};
use vanetally_quota::{Authority, Bounds, Decision, Grantor, QuotaAnswer, QuotaClient};
use vanetally_types::{Name, Tick};

/// Retry hint when the quota can't be checked: a new grantor takes over within two to three
/// seconds.
const UNKNOWN_RETRY_MS: u64 = 1_000;

/// This host's quota state, as client and as grantor.
pub(crate) struct Quotas {
    pub grantor: Grantor,
    pub client: QuotaClient,
    queries: PendingQueries<QuotaAnswer>,
}

impl Quotas {
    /// Creates the state without any quotas.
    pub(crate) fn new(bounds: Bounds, seed: u64) -> Self {
        Self {
            grantor: Grantor::default(),
            client: QuotaClient::new(bounds, seed),
            queries: PendingQueries::default(),
        }
    }

    /// Applies the quotas of a configuration.
    pub(crate) fn configure(&mut self, now: Tick, configuration: &Configuration) {
        let organisations = configuration.organisations.iter().flatten();
        let quotas: HashMap<Name, Quota> =
            organisations.filter_map(|one| Some((one.name.clone(), one.quota?))).collect();
        self.client.configure(now, &quotas);
        self.grantor.configure(now, quotas);
    }
}

/// Quota charged for a request; returned on drop unless the request may have run.
pub(crate) struct Charge {
    hub: Rc<Hub>,
    organisation: Name,
    cost: u32,
    /// Whether an attempt is in progress.
    is_in_flight: Cell<bool>,
    /// Whether an earlier attempt may have run.
    may_have_run: Cell<bool>,
}

impl Charge {
    /// Records that the request is being sent to an upstream.
    pub(crate) fn sent(&self) {
        self.is_in_flight.set(true);
    }

    /// Records the end of an attempt.
    pub(crate) fn attempt_ended(&self, end: AttemptEnd) {
        self.is_in_flight.set(false);
        let may_have_run =
            matches!(end, AttemptEnd::Served | AttemptEnd::Failed | AttemptEnd::Broken);
        self.may_have_run.set(self.may_have_run.get() || may_have_run);
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        if !self.is_in_flight.get() && !self.may_have_run.get() {
            self.hub.refund(&self.organisation, self.cost);
        }
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
        let (decision, by) = self.decide(&organisation, cost).await;
        let refusal = match decision {
            Decision::Granted => {
                log::debug!(
                    "event=quota_granted request={} organisation={organisation} cost={cost} by={by}",
                    head.id
                );
                let hub = self.clone();
                let (is_in_flight, may_have_run) = (Cell::new(false), Cell::new(false));
                return Ok(Some(Charge { hub, organisation, cost, is_in_flight, may_have_run }));
            }
            Decision::Refused { retry_ms } => {
                Refusal::not_run(RefusalCause::OverQuota, Some(retry_ms))
            }
            Decision::Unknown => {
                Refusal::not_run(RefusalCause::QuotaUnknown, Some(UNKNOWN_RETRY_MS))
            }
        };
        log::info!(
            "event=quota_refused request={} organisation={organisation} cost={cost} by={by} cause={} retry_after_ms={}",
            head.id,
            refusal.cause.as_str(),
            refusal.retry_after_ms.unwrap_or(0)
        );
        Err(refusal)
    }

    /// Returns the decision on a request and the host that made it.
    async fn decide(self: &Rc<Self>, organisation: &Name, cost: u32) -> (Decision, Name) {
        let own = &self.settings.host;
        let now = self.clock.now();
        let authority = self.quotas.borrow().client.authority(now, organisation);
        let host = match authority {
            Authority::Unlimited => return (Decision::Granted, own.clone()),
            Authority::Local => {
                let decision =
                    self.quotas.borrow_mut().client.decide_locally(now, organisation, cost);
                return (decision, own.clone());
            }
            Authority::Grantor(host) => host,
        };
        let answer = if host == *own {
            Some(self.spend(own, organisation, cost))
        } else {
            self.ask_grantor(&host, organisation, cost).await
        };
        let now = self.clock.now();
        let client = &mut self.quotas.borrow_mut().client;
        let decision = match answer {
            Some(answer) => client.handle_answer(now, organisation, cost, answer),
            None => client.handle_no_answer(now, &host, organisation, cost),
        };
        let by = if matches!(answer, None | Some(QuotaAnswer::NotGranting)) { own } else { &host };
        (decision, by.clone())
    }

    async fn ask_grantor(
        &self,
        host: &Name,
        organisation: &Name,
        cost: u32,
    ) -> Option<QuotaAnswer> {
        let (number, answer) = self.quotas.borrow_mut().queries.register();
        let organisation = organisation.clone();
        self.send(host, &PeerMessage::Spend { number, organisation, cost });
        let answer = await_grantor(answer).await;
        self.quotas.borrow_mut().queries.forget(number);
        if answer.is_none() {
            log::info!("event=grantor_silent host={host} after_ms={}", GRANTOR_TIMEOUT.as_millis());
        }
        answer
    }

    /// Spends `cost` of the quota, as the grantor.
    fn spend(&self, host: &Name, organisation: &Name, cost: u32) -> QuotaAnswer {
        self.update_granting();
        let now = self.clock.now();
        let grantor = &mut self.quotas.borrow_mut().grantor;
        grantor.record_client(now, host);
        grantor.spend(now, organisation, cost)
    }

    /// Answers a spend request of another host.
    pub(crate) fn spend_for_peer(&self, host: &Name, number: u64, organisation: &Name, cost: u32) {
        let answer = self.spend(host, organisation, cost);
        self.send(host, &PeerMessage::Spent { number, answer });
    }

    /// Handles the grantor's answer.
    pub(crate) fn spent(&self, number: u64, answer: QuotaAnswer) {
        // A late answer is dropped: this host has already decided alone.
        let _ = self.quotas.borrow_mut().queries.answered(number, answer);
    }

    fn refund(&self, organisation: &Name, cost: u32) {
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
