//! Store client with timeouts and typed responses.

use crate::{
    call::{self, Reply},
    clock::Clock,
    eras::{EraUpdate, Eras},
    odd_entries::OddEntries,
    pool::Pool,
    settings::StoreSettings,
    telemetry,
};
use bytes::Bytes;
use http::{Request, StatusCode};
use std::{cell::RefCell, collections::BTreeMap, net::SocketAddr, rc::Rc, time::Duration};
use tokio::{sync::watch, time::sleep};
use vanetally_fanout::{ListError, Listing, StoreContact, StoreState};
use vanetally_ports::{
    Built, Era, FormatError, Freshness, Item, LeaseId, Page, RequestError, Revision, StoreAnswer,
    StoreProtocol, Transaction, WatchAnswer,
};
use vanetally_types::Tick;

/// Why a store call failed.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Error {
    /// No response was received.
    #[error(transparent)]
    Call(#[from] call::Error),
    /// The response is malformed.
    #[error(transparent)]
    Format(#[from] FormatError),
    /// A list can't be read to its end.
    #[error(transparent)]
    List(#[from] ListError),
    /// The request could not be built.
    #[error(transparent)]
    Request(#[from] RequestError),
    /// The store is refusing calls temporarily.
    #[error("refused with {0}")]
    Refused(StatusCode),
    /// The store has been restored from a backup since it made the response.
    #[error("response of era {era}, but era {known} is known")]
    Outdated {
        /// The era of the response.
        era: Era,
        /// The known era.
        known: Era,
    },
    /// The lease is of an earlier era than the response, which may concern another host's lease
    /// with the same number.
    #[error("lease of era {lease}, but response of era {era}")]
    EraMismatch {
        /// The era of the lease.
        lease: Era,
        /// The era of the response.
        era: Era,
    },
}

impl Error {
    /// Whether the same read may succeed a moment later.
    fn is_transient(&self) -> bool {
        let is_lost =
            matches!(self, Self::Call(call::Error::NotSent(_) | call::Error::Unanswered(_)));
        is_lost || matches!(self, Self::Refused(_))
    }
}

/// All keys of a prefix. Later pages may include changes made after `at`.
#[derive(Debug)]
pub(crate) struct Snapshot {
    pub items: Vec<Item>,
    pub at: Revision,
    /// Whether values were left empty for the size of all together.
    pub is_partial: bool,
}

/// A store response with its era.
struct EraReply {
    reply: Reply,
    /// The era in which the response was made.
    era: Era,
}

impl EraReply {
    fn status(&self) -> StatusCode {
        self.reply.status()
    }

    fn body(&self) -> &[u8] {
        &self.reply.body
    }
}

/// Client of the store.
#[derive(Clone)]
pub(crate) struct Store {
    pool: Pool,
    address: SocketAddr,
    protocol: Rc<dyn StoreProtocol>,
    clock: Clock,
    contact: Rc<RefCell<StoreContact>>,
    /// Incremented to make pending calls restart: when the store becomes reachable again or is
    /// restored, and after a stall.
    restarts: Rc<watch::Sender<u64>>,
    /// Calls since the last log line, by name.
    calls: Rc<RefCell<BTreeMap<&'static str, u32>>>,
    eras: Rc<Eras>,
    odd_entries: Rc<OddEntries>,
}

/// Failures in a row of a page after the first one with which a list is given up.
const MAX_PAGE_FAILURES: u32 = 2;
const PAGE_RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Timeout of a short call.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Margin after the maximum hold time of a watch before it counts as broken. The store answers
/// within a few milliseconds, or up to fifty times that when slow.
const WATCH_MARGIN: Duration = Duration::from_millis(500);

/// Whether the status means that the store temporarily refuses calls.
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
            restarts: Rc::new(watch::Sender::new(0)),
            calls: Rc::default(),
            eras: Rc::new(Eras::new(clock.now())),
            odd_entries: Rc::new(OddEntries::new(clock)),
        }
    }

    /// Returns the record of the store's availability.
    pub(crate) fn contact(&self) -> StoreContact {
        *self.contact.borrow()
    }

    /// Returns the state of the store's availability that is reported to other hosts.
    pub(crate) fn state(&self) -> StoreState {
        self.contact.borrow().state(self.clock.now())
    }

    /// Records the store state reported by another host.
    pub(crate) fn state_reported(&self, state: StoreState) {
        self.contact.borrow_mut().record_peer_state(self.clock.now(), state);
    }

    /// Subscribes to restarts of pending calls.
    pub(crate) fn restarts(&self) -> watch::Receiver<u64> {
        self.restarts.subscribe()
    }

    /// Restarts the calls that are pending now.
    pub(crate) fn restart_calls(&self) {
        self.restarts.send_modify(|count| *count += 1);
    }

    /// Whether to send a probe now. `is_relied_on`: whether other hosts depend on this host's
    /// knowledge.
    pub(crate) fn should_probe(&self, is_relied_on: bool) -> bool {
        self.contact.borrow_mut().should_probe(self.clock.now(), is_relied_on)
    }

    /// Probes whether the store answers, on a new connection: data lost on an existing one may be
    /// retransmitted only much later.
    pub(crate) async fn probe(&self, key: &str) -> bool {
        let Ok(request) = self.checked("probe", self.protocol.probe(key)) else {
            return false;
        };
        let reply = self.call_on(&Pool::new(self.clock), "probe", request, CALL_TIMEOUT).await;
        reply.is_ok_and(|reply| !is_refusal(reply.status()))
    }

    /// Logs why the request of a call can't be built, if it can't.
    fn checked(&self, name: &'static str, request: Built) -> Built {
        request.inspect_err(|error| {
            log::error!("event=request_not_built call={name} error=\"{error}\"");
        })
    }

    fn count(&self, name: &'static str, is_answered: bool) {
        telemetry::store_call(name, is_answered);
        *self.calls.borrow_mut().entry(name).or_default() += 1;
    }

    /// Logs the number of calls since the last time, by name.
    pub(crate) fn log_calls(&self) {
        let calls = std::mem::take(&mut *self.calls.borrow_mut());
        if calls.is_empty() {
            return;
        }
        let calls: Vec<String> =
            calls.iter().map(|(name, count)| format!("{name}={count}")).collect();
        log::info!("event=store_calls {}", calls.join(" "));
    }

    /// Records the outcome of a call.
    fn record_call(&self, sent: Tick, reply: &Result<Reply, call::Error>) {
        let is_answered = reply.as_ref().is_ok_and(|reply| !is_refusal(reply.status()));
        let now = self.clock.now();
        let mut contact = self.contact.borrow_mut();
        let silent_ms = contact.unanswered_ms(now);
        if !is_answered {
            contact.record_failure(sent);
        } else if contact.record_answer(sent, now) {
            log::info!("event=store_returned silent_ms={silent_ms}");
            self.restart_calls();
        }
    }

    /// Returns the era of a response. If the store has been restored from a backup, pending calls
    /// are restarted.
    ///
    /// # Errors
    /// If the response is outdated or its era is unreadable.
    fn check_era(&self, name: &'static str, reply: &Reply) -> Result<Era, Error> {
        let era = self.protocol.read_era(&reply.head.headers).inspect_err(|error| {
            log::error!("event=store_era_unreadable call={name} error=\"{error}\"");
        })?;
        let now = self.clock.now();
        match self.eras.record_answer(now, era) {
            EraUpdate::Known => {}
            EraUpdate::First => {
                log::info!("event=store_era era={era} before=-");
                telemetry::store_era(era);
            }
            EraUpdate::Restored { before, is_unread } => {
                log::warn!(
                    "event=store_era era={era} before={before} call={name} news={is_unread}"
                );
                telemetry::store_era(era);
                if is_unread {
                    self.contact.borrow_mut().record_return(now);
                    self.restart_calls();
                }
            }
            EraUpdate::Outdated { known } => {
                telemetry::stale_update("answer");
                log::info!("event=store_answer_late call={name} era={era} known={known}");
                return Err(Error::Outdated { era, known });
            }
        }
        Ok(era)
    }

    /// Returns the record of entries that can't be read.
    pub(crate) fn odd_entries(&self) -> &OddEntries {
        &self.odd_entries
    }

    /// Records the items of an answer whose keys can't be read, and those whose values are too large.
    pub(crate) fn record_left_out(&self, prefix: &str, unreadable: usize, too_large: usize) {
        for (count, reason) in [(unreadable, "name"), (too_large, "size")] {
            if count > 0
                && let Some(passed_over) = self.odd_entries.record("lists", reason)
            {
                log::error!(
                    "event=entries_left_out prefix={prefix} count={count} reason={reason} passed_over={passed_over}"
                );
            }
        }
    }

    /// Records that keys or values of `prefix` are left out for the size of all together.
    pub(crate) fn record_partial(&self, prefix: &str) {
        if let Some(passed_over) = self.odd_entries.record("lists", "total") {
            log::error!(
                "event=entries_left_out prefix={prefix} count=- reason=total passed_over={passed_over}"
            );
        }
    }

    /// Returns the known eras of the store.
    pub(crate) fn eras(&self) -> &Eras {
        &self.eras
    }

    async fn call(
        &self,
        name: &'static str,
        request: Built,
        wait_limit: Duration,
    ) -> Result<EraReply, Error> {
        let request = self.checked(name, request)?;
        self.call_on(&self.pool, name, request, wait_limit).await
    }

    async fn call_on(
        &self,
        pool: &Pool,
        name: &'static str,
        request: Request<Bytes>,
        wait_limit: Duration,
    ) -> Result<EraReply, Error> {
        let sent = self.clock.now();
        let reply = call::call(pool, self.address, request, wait_limit).await;
        self.finish_call(name, sent, reply)
    }

    fn finish_call(
        &self,
        name: &'static str,
        sent: Tick,
        reply: Result<Reply, call::Error>,
    ) -> Result<EraReply, Error> {
        self.count(name, reply.is_ok());
        self.record_call(sent, &reply);
        let reply = reply?;
        Ok(EraReply { era: self.check_era(name, &reply)?, reply })
    }

    /// Closes expired idle connections.
    pub(crate) fn sweep(&self) {
        self.pool.sweep();
    }

    /// Reads all keys with `prefix`; values of more than `max_value` bytes are left empty.
    pub(crate) async fn range(
        &self,
        prefix: &str,
        freshness: Freshness,
        max_value: usize,
    ) -> Result<Snapshot, Error> {
        let mut listing = Listing::new(prefix.into(), max_value);
        let (mut unreadable, mut failures) = (0, 0);
        loop {
            let after = listing.after().map(|key| &**key);
            let page = match self.read_page(prefix, after, freshness).await {
                Ok(page) => page,
                // A long list that began anew with each failure might never end.
                Err(error)
                    if after.is_some() && error.is_transient() && failures < MAX_PAGE_FAILURES =>
                {
                    failures += 1;
                    sleep(PAGE_RETRY_PAUSE).await;
                    continue;
                }
                Err(error) => return Err(error),
            };
            failures = 0;
            unreadable += page.unreadable;
            if listing.add(page)? {
                break;
            }
        }
        self.record_left_out(prefix, unreadable, listing.left_out());
        let is_partial = listing.is_partial();
        let (items, at) = listing.into_items();
        Ok(Snapshot { items, at, is_partial })
    }

    async fn read_page(
        &self,
        prefix: &str,
        after: Option<&str>,
        freshness: Freshness,
    ) -> Result<Page, Error> {
        let reply = self.call_page(prefix, after, freshness).await?;
        if reply.status() != StatusCode::OK {
            return Err(Error::Refused(reply.status()));
        }
        Ok(self.protocol.read_range(reply.era, reply.body())?)
    }

    /// Calls for one page. On a restart of pending calls, a call whose response has not begun is sent
    /// again at once, since the response may never arrive. A response that has begun may be large
    /// and is read to its end.
    async fn call_page(
        &self,
        prefix: &str,
        after: Option<&str>,
        freshness: Freshness,
    ) -> Result<EraReply, Error> {
        let mut restarts = self.restarts();
        let name = match freshness {
            Freshness::Newest => "range",
            Freshness::MayBeStale => "survey",
        };
        loop {
            let restarted = async {
                // The sender lives as long as the store.
                let _ = restarts.changed().await;
            };
            let request = self.checked(name, self.protocol.range(prefix, after, freshness))?;
            let sent = self.clock.now();
            let reply =
                call::call_or_cancel(&self.pool, self.address, request, CALL_TIMEOUT, restarted)
                    .await;
            if matches!(reply, Err(call::Error::Cancelled)) {
                continue;
            }
            return self.finish_call(name, sent, reply);
        }
    }

    /// Waits for changes of keys with `prefix`, `wait_ms` at most.
    pub(crate) async fn watch(
        &self,
        prefix: &str,
        after: Revision,
        wait_ms: u64,
    ) -> Result<WatchAnswer, Error> {
        let request = self.protocol.watch(prefix, after, wait_ms);
        let wait_limit = Duration::from_millis(wait_ms) + WATCH_MARGIN;
        let reply = self.call("watch", request, wait_limit).await?;
        let answer = self.protocol.read_watch(reply.era, reply.status(), reply.body())?;
        if let Some(WatchAnswer::Changes { unreadable, .. }) = &answer {
            self.record_left_out(prefix, *unreadable, 0);
        }
        answer.ok_or(Error::Refused(reply.status()))
    }

    /// Commits a transaction if all its expectations hold.
    pub(crate) async fn transact(
        &self,
        transaction: &Transaction,
    ) -> Result<StoreAnswer<Revision>, Error> {
        let request = self.protocol.transaction(transaction);
        let reply = self.call("transaction", request, CALL_TIMEOUT).await?;
        Ok(self.protocol.read_transaction(reply.era, reply.status(), reply.body())?)
    }

    /// Requests a lease; returns its id and TTL.
    pub(crate) async fn grant(&self, ttl_ms: u64) -> Result<StoreAnswer<(LeaseId, u64)>, Error> {
        let reply = self.call("grant", self.protocol.grant(ttl_ms), CALL_TIMEOUT).await?;
        Ok(self.protocol.read_grant(reply.era, reply.status(), reply.body())?)
    }

    /// Renews a lease.
    ///
    /// # Errors
    /// Also if the store is in a later era than the lease, since the response then concerns another
    /// lease.
    pub(crate) async fn renew(&self, lease: LeaseId) -> Result<StoreAnswer<()>, Error> {
        let reply = self.call("renew", self.protocol.renew(lease), CALL_TIMEOUT).await?;
        if reply.era != lease.era {
            return Err(Error::EraMismatch { lease: lease.era, era: reply.era });
        }
        Ok(self.protocol.classify_lease(reply.status()))
    }

    /// Ends a lease and removes its keys. A lease of an earlier era is left to expire: its number
    /// may now belong to another host's lease.
    pub(crate) async fn end(&self, lease: LeaseId) -> Result<StoreAnswer<()>, Error> {
        if lease.era < self.eras.newest() {
            return Ok(StoreAnswer::NoLease);
        }
        let reply = self.call("end", self.protocol.revoke(lease), CALL_TIMEOUT).await?;
        Ok(self.protocol.classify_lease(reply.status()))
    }
}
