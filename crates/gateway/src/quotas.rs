//! Asking the grantor whether a request is within its organisation's quota, and answering as one.

use crate::{
    hub::Hub,
    peers::PeerMessage,
    questions::{GRANTOR_ANSWER, Questions, grantor_answer},
};
use std::{cell::Cell, collections::HashMap, rc::Rc};
use vanetally_dispatch::AttemptEnd;
use vanetally_fanout::StoreState;
use vanetally_ports::{CallerRequest, Configuration, Quota, Refusal, RefusalCause};
use vanetally_quota::{Authority, Bounds, Decision, Grantor, QuotaAnswer, QuotaClient};
use vanetally_types::{Name, Tick};

/// When to come back where it is not known whether a request is within its quota, in milliseconds: a new grantor is
/// there within two or three seconds.
const UNKNOWN_RETRY_MS: u64 = 1_000;

/// This host's part in the quotas.
pub(crate) struct Quotas {
    pub grantor: Grantor,
    pub client: QuotaClient,
    questions: Questions<QuotaAnswer>,
}

impl Quotas {
    /// No quota is known.
    pub(crate) fn new(bounds: Bounds, seed: u64) -> Self {
        Self {
            grantor: Grantor::default(),
            client: QuotaClient::new(bounds, seed),
            questions: Questions::default(),
        }
    }

    /// Takes in the quotas of a configuration.
    pub(crate) fn configure(&mut self, now: Tick, configuration: &Configuration) {
        let organisations = configuration.organisations.iter().flatten();
        let quotas: HashMap<Name, Quota> =
            organisations.filter_map(|one| Some((one.name.clone(), one.quota?))).collect();
        self.client.configure(now, &quotas);
        self.grantor.configure(now, quotas);
    }
}

/// What a request took of its organisation's quota; given back unless it may have run.
pub(crate) struct Charge {
    hub: Rc<Hub>,
    organisation: Name,
    cost: u32,
    /// Whether the request is at an upstream.
    is_out: Cell<bool>,
    /// Whether an attempt may have run.
    has_run: Cell<bool>,
}

impl Charge {
    /// The request goes to an upstream.
    pub(crate) fn sent(&self) {
        self.is_out.set(true);
    }

    /// An attempt ended.
    pub(crate) fn attempt_ended(&self, end: AttemptEnd) {
        self.is_out.set(false);
        let may_have_run =
            matches!(end, AttemptEnd::Served | AttemptEnd::Failed | AttemptEnd::Broken);
        self.has_run.set(self.has_run.get() || may_have_run);
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        if !self.is_out.get() && !self.has_run.get() {
            self.hub.give_back(&self.organisation, self.cost);
        }
    }
}

impl Hub {
    /// Takes what `head`, a request of `organisation`, counts as; or tells why it can't be sent.
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
                let (is_out, has_run) = (Cell::new(false), Cell::new(false));
                return Ok(Some(Charge { hub, organisation, cost, is_out, has_run }));
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

    /// Decides on a request, and tells who did.
    async fn decide(self: &Rc<Self>, organisation: &Name, cost: u32) -> (Decision, Name) {
        let own = &self.settings.host;
        let now = self.clock.now();
        let ask = self.quotas.borrow().client.authority(now, organisation);
        let host = match ask {
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
        let (number, answer) = self.quotas.borrow_mut().questions.ask();
        let organisation = organisation.clone();
        self.send(host, &PeerMessage::Spend { number, organisation, cost });
        let answer = grantor_answer(answer).await;
        self.quotas.borrow_mut().questions.forget(number);
        if answer.is_none() {
            log::info!("event=grantor_silent host={host} after_ms={}", GRANTOR_ANSWER.as_millis());
        }
        answer
    }

    /// Takes `cost` from the quota, as the grantor.
    fn spend(&self, host: &Name, organisation: &Name, cost: u32) -> QuotaAnswer {
        self.review_granting();
        let now = self.clock.now();
        let grantor = &mut self.quotas.borrow_mut().grantor;
        grantor.record_request(now, host);
        grantor.spend(now, organisation, cost)
    }

    /// Another host asks.
    pub(crate) fn spend_for(&self, host: &Name, number: u64, organisation: &Name, cost: u32) {
        let answer = self.spend(host, organisation, cost);
        self.send(host, &PeerMessage::Spent { number, answer });
    }

    /// The grantor answered.
    pub(crate) fn spent(&self, number: u64, answer: QuotaAnswer) {
        // One that comes late is of no use: the host has decided alone.
        let _ = self.quotas.borrow_mut().questions.answered(number, answer);
    }

    fn give_back(&self, organisation: &Name, cost: u32) {
        let holder = self.holder.borrow().clone();
        match holder {
            Some(host) if host == self.settings.host => {
                self.quotas.borrow_mut().grantor.refund(organisation, cost);
            }
            Some(host) => {
                let organisation = organisation.clone();
                self.send(&host, &PeerMessage::GiveBack { organisation, cost });
            }
            // Nobody keeps the count that it was taken from.
            None => {}
        }
    }

    /// Notes whether this host grants: by its lease, or while the store is away and nobody else can have it.
    pub(crate) fn review_granting(&self) {
        let now = self.clock.now();
        let is_holder = self.tenure.borrow().is_holding(now);
        let is_last = *self.holder.borrow() == Some(self.settings.host.clone());
        let is_away = is_last && self.store.state() == StoreState::Away;
        let hosts = self.peers.borrow().len();
        let grantor = &mut self.quotas.borrow_mut().grantor;
        let goes_on = !is_holder && is_away && grantor.may_continue(now, hosts);
        grantor.set_granting(now, is_holder || goes_on);
        self.limits.borrow_mut().grantor.set_granting(now, is_holder || goes_on);
    }
}
