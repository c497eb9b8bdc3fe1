//! Calls to the store, with time-outs and typed answers.

use crate::{
    call::{self, Reply},
    clock::Clock,
    pool::Pool,
    settings::StoreSettings,
    telemetry,
};
use bytes::Bytes;
use http::{Request, StatusCode};
use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};
use tokio::sync::watch;
use vanetally_fanout::{Contact, StoreState};
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
}

/// All keys of a prefix, at one revision or somewhat later.
#[derive(Debug)]
pub(crate) struct Snapshot {
    pub items: Vec<Item>,
    pub at: Revision,
}

/// The store as this process sees it.
#[derive(Clone)]
pub(crate) struct Store {
    pool: Pool,
    address: SocketAddr,
    protocol: Rc<dyn StoreProtocol>,
    clock: Clock,
    contact: Rc<RefCell<Contact>>,
    /// Counts how often the way to the store opened again.
    returns: Rc<watch::Sender<u64>>,
    /// Calls since they were last logged, by name.
    calls: Rc<RefCell<BTreeMap<&'static str, u32>>>,
    /// The newest era in which it answered; none before its first answer.
    era: Rc<Cell<Option<Era>>>,
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
            contact: Rc::new(RefCell::new(Contact::new(contact_ms))),
            returns: Rc::new(watch::Sender::new(0)),
            calls: Rc::default(),
            era: Rc::default(),
        }
    }

    /// Whether the store was away lately.
    pub(crate) fn contact(&self) -> Contact {
        *self.contact.borrow()
    }

    /// What other hosts may rest on.
    pub(crate) fn state(&self) -> StoreState {
        self.contact.borrow().state(self.clock.now())
    }

    /// Another host told what it knows of the store.
    pub(crate) fn told(&self, state: StoreState) {
        self.contact.borrow_mut().told(self.clock.now(), state);
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
        let silent_ms = contact.silent_ms(now);
        if !is_answered {
            contact.failed(sent);
        } else if contact.answered(sent, now) {
            log::info!("event=store_returned silent_ms={silent_ms}");
            self.begin_anew();
        }
        drop(contact);
        if let Ok(reply) = reply {
            self.note_era(reply);
        }
    }

    /// Tells when the store answers in another era than before.
    fn note_era(&self, reply: &Reply) {
        match self.protocol.read_era(&reply.head.headers) {
            Ok(era) if Some(era) > self.era.get() => {
                let before =
                    self.era.replace(Some(era)).map_or("-".into(), |era| era.0.to_string());
                log::info!("event=store_era era={} before={before}", era.0);
                telemetry::store_era(era);
            }
            Ok(_) => {}
            Err(error) => log::error!("event=store_era_unreadable error=\"{error}\""),
        }
    }

    async fn call(
        &self,
        name: &'static str,
        request: Request<Bytes>,
        within: Duration,
    ) -> Result<Reply, Error> {
        self.call_on(&self.pool, name, request, within).await
    }

    async fn call_on(
        &self,
        pool: &Pool,
        name: &'static str,
        request: Request<Bytes>,
        within: Duration,
    ) -> Result<Reply, Error> {
        let sent = self.clock.now();
        let reply = call::call(pool, self.address, request, within).await;
        self.count(name, reply.is_ok());
        self.note(sent, &reply);
        Ok(reply?)
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
        let mut snapshot = Snapshot { items: Vec::new(), at: Revision(0) };
        loop {
            let last = snapshot.items.last().map(|item| item.key.clone());
            let reply = self.read_page(prefix, last.as_deref(), freshness).await?;
            if reply.status() != StatusCode::OK {
                return Err(Error::Refused(reply.status()));
            }
            let page = self.protocol.read_range(&reply.body)?;
            // Pages are no snapshot: the watch goes on from the first, and sees changes twice.
            if last.is_none() {
                snapshot.at = page.at;
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
    ) -> Result<Reply, Error> {
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
                Freshness::MayBeOld => "survey",
            };
            self.count(name, reply.is_ok());
            self.note(sent, &reply);
            return Ok(reply?);
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
        let answer = self.protocol.read_watch(reply.status(), &reply.body)?;
        answer.ok_or(Error::Refused(reply.status()))
    }

    /// Writes, if all expectations hold.
    pub(crate) async fn transact(
        &self,
        transaction: &Transaction,
    ) -> Result<StoreAnswer<Revision>, Error> {
        let request = self.protocol.transaction(transaction);
        let reply = self.call("transaction", request, CALL).await?;
        Ok(self.protocol.read_transaction(reply.status(), &reply.body)?)
    }

    /// Asks for a lease.
    pub(crate) async fn grant(&self, ttl_ms: u64) -> Result<StoreAnswer<(LeaseId, u64)>, Error> {
        let reply = self.call("grant", self.protocol.grant(ttl_ms), CALL).await?;
        Ok(self.protocol.read_grant(reply.status(), &reply.body)?)
    }

    /// Renews a lease.
    pub(crate) async fn renew(&self, lease: LeaseId) -> Result<StoreAnswer<()>, Error> {
        let reply = self.call("renew", self.protocol.renew(lease), CALL).await?;
        Ok(self.protocol.judge_lease(reply.status()))
    }

    /// Ends a lease, with its keys.
    pub(crate) async fn end(&self, lease: LeaseId) -> Result<StoreAnswer<()>, Error> {
        let reply = self.call("end", self.protocol.end(lease), CALL).await?;
        Ok(self.protocol.judge_lease(reply.status()))
    }
}
