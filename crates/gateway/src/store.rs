//! Calls to the store, with time-outs and typed answers.

use crate::{
    call::{self, Reply},
    clock::Clock,
    eras::{Eras, Sign},
    pool::Pool,
    settings::StoreSettings,
    telemetry,
};
use bytes::Bytes;
use http::{Request, StatusCode};
use std::{cell::RefCell, collections::BTreeMap, net::SocketAddr, rc::Rc, time::Duration};
use tokio::sync::watch;
use vanetally_fanout::{StoreContact, StoreState};
use vanetally_ports::{
    Era, FormatError, Freshness, Item, LeaseId, Revision, StoreAnswer, StoreProtocol, Transaction,
    WatchAnswer,
};
use vanetally_types::Tick;

/// Why a call to the store brought nothing.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Error {
    /// No answer came.
    #[error(transparent)]
    Call(#[from] call::Error),
    /// The answer makes no sense.
    #[error(transparent)]
    Format(#[from] FormatError),
    /// The store refuses calls for now.
    #[error("refused with {0}")]
    Refused(StatusCode),
    /// The store has come back from a copy since it made the answer.
    #[error("answered in era {era}, known is {known}")]
    Late {
        /// The era of the answer.
        era: Era,
        /// The era that is known.
        known: Era,
    },
    /// The lease is of an era before that of the answer: it may be that of another host.
    #[error("a lease of era {lease}, answered in era {era}")]
    OtherEra {
        /// The era of the lease.
        lease: Era,
        /// The era of the answer.
        era: Era,
    },
}

/// All keys of a prefix, at one revision or somewhat later.
#[derive(Debug)]
pub(crate) struct Snapshot {
    pub items: Vec<Item>,
    pub at: Revision,
}

/// An answer of the store.
struct Told {
    reply: Reply,
    /// The era in which it was given.
    era: Era,
}

impl Told {
    fn status(&self) -> StatusCode {
        self.reply.status()
    }

    fn body(&self) -> &[u8] {
        &self.reply.body
    }
}

/// The store as this process sees it.
#[derive(Clone)]
pub(crate) struct Store {
    pool: Pool,
    address: SocketAddr,
    protocol: Rc<dyn StoreProtocol>,
    clock: Clock,
    contact: Rc<RefCell<StoreContact>>,
    /// Counts how often the way to the store opened again.
    returns: Rc<watch::Sender<u64>>,
    /// Calls since they were last logged, by name.
    calls: Rc<RefCell<BTreeMap<&'static str, u32>>>,
    eras: Rc<Eras>,
}

/// For a short call.
const CALL: Duration = Duration::from_millis(1_200);
/// A watch that is silent for longer than it may be held and this has broken: the store answers in a few
/// milliseconds, in fifty times as many when it is slow.
const WATCH_MARGIN: Duration = Duration::from_millis(500);

/// Whether the store did nothing, for now.
fn is_refusal(status: StatusCode) -> bool {
    status == StatusCode::TOO_MANY_REQUESTS || status.is_server_error()
}

impl Store {
    pub(crate) fn new(
        settings: &StoreSettings,
        contact_ms: u64,
        protocol: Rc<dyn StoreProtocol>,
        clock: Clock,
    ) -> Self {
        Self {
            pool: Pool::new(clock),
            address: settings.address,
            protocol,
            clock,
            contact: Rc::new(RefCell::new(StoreContact::new(contact_ms))),
            returns: Rc::new(watch::Sender::new(0)),
            calls: Rc::default(),
            eras: Rc::new(Eras::new(clock.now())),
        }
    }

    /// Whether the store was away lately.
    pub(crate) fn contact(&self) -> StoreContact {
        *self.contact.borrow()
    }

    /// What other hosts may rest on.
    pub(crate) fn state(&self) -> StoreState {
        self.contact.borrow().state(self.clock.now())
    }

    /// Another host told what it knows of the store.
    pub(crate) fn told(&self, state: StoreState) {
        self.contact.borrow_mut().record_peer_state(self.clock.now(), state);
    }

    /// Changes whenever the way to the store opens again: what hangs should be begun anew.
    pub(crate) fn returns(&self) -> watch::Receiver<u64> {
        self.returns.subscribe()
    }

    /// Makes the calls anew that hang now.
    pub(crate) fn begin_anew(&self) {
        self.returns.send_modify(|count| *count += 1);
    }

    /// Whether to send a probe now; other hosts may rest on what this one knows.
    pub(crate) fn should_probe(&self, is_relied_on: bool) -> bool {
        self.contact.borrow_mut().should_probe(self.clock.now(), is_relied_on)
    }

    /// Sees whether the store answers, on a connection of its own: what was lost on a kept one may be
    /// repeated only much later.
    pub(crate) async fn probe(&self, key: &str) -> bool {
        let request = self.protocol.probe(key);
        let reply = self.call_on(&Pool::new(self.clock), "probe", request, CALL).await;
        reply.is_ok_and(|reply| !is_refusal(reply.status()))
    }

    fn count(&self, name: &'static str, is_answered: bool) {
        telemetry::store_call(name, is_answered);
        *self.calls.borrow_mut().entry(name).or_default() += 1;
    }

    /// Logs the calls since the last time, by name.
    pub(crate) fn log_calls(&self) {
        let calls = std::mem::take(&mut *self.calls.borrow_mut());
        if calls.is_empty() {
            return;
        }
        let calls: Vec<String> =
            calls.iter().map(|(name, count)| format!("{name}={count}")).collect();
        log::info!("event=store_calls {}", calls.join(" "));
    }

    /// Takes in how a call went.
    fn note(&self, sent: Tick, reply: &Result<Reply, call::Error>) {
        let is_answered = reply.as_ref().is_ok_and(|reply| !is_refusal(reply.status()));
        let now = self.clock.now();
        let mut contact = self.contact.borrow_mut();
        let silent_ms = contact.unanswered_ms(now);
        if !is_answered {
            contact.record_failure(sent);
        } else if contact.record_answer(sent, now) {
            log::info!("event=store_returned silent_ms={silent_ms}");
            self.begin_anew();
        }
    }

    /// The era of an answer. Where the store has come back from a copy, what hangs is begun anew.
    ///
    /// # Errors
    /// If the answer comes late, or its era can't be read.
    fn note_era(&self, name: &'static str, reply: &Reply) -> Result<Era, Error> {
        let era = self.protocol.read_era(&reply.head.headers).inspect_err(|error| {
            log::error!("event=store_era_unreadable call={name} error=\"{error}\"");
        })?;
        let now = self.clock.now();
        match self.eras.answer(now, era) {
            Sign::Known => {}
            Sign::First => {
                log::info!("event=store_era era={era} before=-");
                telemetry::store_era(era);
            }
            Sign::Returned { before, is_news } => {
                log::warn!("event=store_era era={era} before={before} call={name} news={is_news}");
                telemetry::store_era(era);
                if is_news {
                    self.contact.borrow_mut().record_return(now);
                    self.begin_anew();
                }
            }
            Sign::Late { known } => {
                telemetry::passed_over("answer");
                log::info!("event=store_answer_late call={name} era={era} known={known}");
                return Err(Error::Late { era, known });
            }
        }
        Ok(era)
    }

    /// In which era the store is.
    pub(crate) fn eras(&self) -> &Eras {
        &self.eras
    }

    async fn call(
        &self,
        name: &'static str,
        request: Request<Bytes>,
        within: Duration,
    ) -> Result<Told, Error> {
        self.call_on(&self.pool, name, request, within).await
    }

    async fn call_on(
        &self,
        pool: &Pool,
        name: &'static str,
        request: Request<Bytes>,
        within: Duration,
    ) -> Result<Told, Error> {
        let sent = self.clock.now();
        let reply = call::call(pool, self.address, request, within).await;
        self.take(name, sent, reply)
    }

    fn take(
        &self,
        name: &'static str,
        sent: Tick,
        reply: Result<Reply, call::Error>,
    ) -> Result<Told, Error> {
        self.count(name, reply.is_ok());
        self.note(sent, &reply);
        let reply = reply?;
        Ok(Told { era: self.note_era(name, &reply)?, reply })
    }

    /// Closes connections that have rested too long.
    pub(crate) fn sweep(&self) {
        self.pool.sweep();
    }

    /// Reads all keys that begin with `prefix`.
    pub(crate) async fn range(
        &self,
        prefix: &str,
        freshness: Freshness,
    ) -> Result<Snapshot, Error> {
        let mut snapshot = Snapshot { items: Vec::new(), at: Revision::default() };
        loop {
            let last = snapshot.items.last().map(|item| item.key.clone());
            let reply = self.read_page(prefix, last.as_deref(), freshness).await?;
            if reply.status() != StatusCode::OK {
                return Err(Error::Refused(reply.status()));
            }
            let page = self.protocol.read_range(reply.era, reply.body())?;
            if last.is_some() && page.revision.era != snapshot.at.era {
                // It came back from a copy between two pages.
                snapshot.items.clear();
                continue;
            }
            // Pages are no snapshot: the watch goes on from the first, and sees changes twice.
            if last.is_none() {
                snapshot.at = page.revision;
            }
            let is_last = !page.more || page.items.is_empty();
            snapshot.items.extend(page.items);
            if is_last {
                return Ok(snapshot);
            }
        }
    }

    /// Reads one page. A call that hangs when the way to the store opens again is made anew at once: its
    /// answer may never come, while an answer that has begun may be large and goes on.
    async fn read_page(
        &self,
        prefix: &str,
        after: Option<&str>,
        freshness: Freshness,
    ) -> Result<Told, Error> {
        let mut returns = self.returns();
        loop {
            let returned = async {
                // The sender lives as long as the store.
                let _ = returns.changed().await;
            };
            let request = self.protocol.range(prefix, after, freshness);
            let sent = self.clock.now();
            let reply = call::call_unless(&self.pool, self.address, request, CALL, returned).await;
            if matches!(reply, Err(call::Error::Hung)) {
                continue;
            }
            let name = match freshness {
                Freshness::Newest => "range",
                Freshness::MayBeStale => "survey",
            };
            return self.take(name, sent, reply);
        }
    }

    /// Waits for changes of the keys that begin with `prefix`, `wait_ms` at most.
    pub(crate) async fn watch(
        &self,
        prefix: &str,
        after: Revision,
        wait_ms: u64,
    ) -> Result<WatchAnswer, Error> {
        let request = self.protocol.watch(prefix, after, wait_ms);
        let within = Duration::from_millis(wait_ms) + WATCH_MARGIN;
        let reply = self.call("watch", request, within).await?;
        let answer = self.protocol.read_watch(reply.era, reply.status(), reply.body())?;
        answer.ok_or(Error::Refused(reply.status()))
    }

    /// Writes, if all expectations hold.
    pub(crate) async fn transact(
        &self,
        transaction: &Transaction,
    ) -> Result<StoreAnswer<Revision>, Error> {
        let request = self.protocol.transaction(transaction);
        let reply = self.call("transaction", request, CALL).await?;
        Ok(self.protocol.read_transaction(reply.era, reply.status(), reply.body())?)
    }

    /// Asks for a lease.
    pub(crate) async fn grant(&self, ttl_ms: u64) -> Result<StoreAnswer<(LeaseId, u64)>, Error> {
        let reply = self.call("grant", self.protocol.grant(ttl_ms), CALL).await?;
        Ok(self.protocol.read_grant(reply.era, reply.status(), reply.body())?)
    }

    /// Renews a lease.
    ///
    /// # Errors
    /// Also if the store is in a later era than that of the lease: what it says is about another lease.
    pub(crate) async fn renew(&self, lease: LeaseId) -> Result<StoreAnswer<()>, Error> {
        let reply = self.call("renew", self.protocol.renew(lease), CALL).await?;
        if reply.era != lease.era {
            return Err(Error::OtherEra { lease: lease.era, era: reply.era });
        }
        Ok(self.protocol.classify_lease(reply.status()))
    }

    /// Ends a lease, with its keys. One of an earlier era runs out by itself: its number may be that of another host's.
    pub(crate) async fn end(&self, lease: LeaseId) -> Result<StoreAnswer<()>, Error> {
        if lease.era < self.eras.newest() {
            return Ok(StoreAnswer::NoLease);
        }
        let reply = self.call("end", self.protocol.revoke(lease), CALL).await?;
        Ok(self.protocol.classify_lease(reply.status()))
    }
}
