//! Tunnels of other hosts to upstreams through this one.
//!
//! A host that is cut off itself must not serve as exit. What its open connections still receive says
//! nothing of new ones, and a proxy in front of an upstream may accept connections that it can't
//! forward. So a tunnel is opened only to an upstream that has just answered this host on a new
//! connection; where none was opened lately, the upstream is probed first.

use crate::{hub::Hub, probing::Asked, telemetry};
use futures_util::{StreamExt, stream::FuturesUnordered};
use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    rc::Rc,
    sync::Arc,
    time::Duration,
};
use tokio::{
    sync::{mpsc, watch},
    time::{sleep, timeout},
};
use vanetally_link::tunnel::{
    TunnelDecision, TunnelRefusal, TunnelRequest, TunnelTarget, TunnelWatcher,
};
use vanetally_quarantine::CrashSign;
use vanetally_reach::{AttemptId, Event, Offer};
use vanetally_types::{Incarnation, Name};

/// Share of the process's memory that the tunnels of other hosts may use, as a divisor, and the
/// memory of one tunnel.
const MEMORY_DIVISOR: u64 = 16;
const TUNNEL_BYTES: u64 = 56 << 10;
/// Maximum number of tunnels of other hosts if the memory is not stated.
const DEFAULT_MAX_TUNNELS: usize = 256;
/// Time in which an upstream must answer before a tunnel to it is opened, less than the requesting
/// host waits.
const PROBE_TIMEOUT: Duration = Duration::from_millis(200);
/// Time without an answer after which another upstream is asked, to see whether this host reaches any,
/// and after which the next one is.
const COMPARISON_DELAY: Duration = Duration::from_millis(60);
/// Maximum number of these.
const COMPARED: usize = 3;
/// Time in which an upstream must answer that others have just answered before it: all may have been
/// silent for a moment.
const LAST_TIMEOUT: Duration = Duration::from_millis(200);

/// A request of another host for a tunnel.
pub(crate) struct TunnelCall {
    pub from: Name,
    pub request: TunnelRequest,
    pub decide: TunnelDecision,
}

/// What concerns the tunnels of other hosts.
pub(crate) enum TunnelEvent {
    /// One is requested.
    Requested(TunnelCall),
    /// Something was seen of the upstream of an open one.
    Seen { number: u64, upstream: Incarnation, sign: TunnelSign },
}

/// What is seen of the upstream of a tunnel.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TunnelSign {
    /// A request was sent to it.
    Sent,
    /// It answered the first request on this connection.
    FirstAnswer,
    /// It answered a later request.
    Answer,
    /// It could not be connected to, or its connection ended without an answer.
    Broken,
    /// The tunnel is closed.
    Closed,
}

/// Passes on what is seen of the upstream of a tunnel.
#[derive(Debug)]
struct Watcher {
    number: u64,
    upstream: Incarnation,
    has_answered: bool,
    events: mpsc::UnboundedSender<TunnelEvent>,
}

impl Watcher {
    fn pass_on(&self, sign: TunnelSign) {
        let (number, upstream) = (self.number, self.upstream.clone());
        // The receiver ends with the process.
        let _ = self.events.send(TunnelEvent::Seen { number, upstream, sign });
    }
}

impl TunnelWatcher for Watcher {
    fn sent(&mut self) {
        self.pass_on(TunnelSign::Sent);
    }

    fn answered(&mut self) {
        let is_later = std::mem::replace(&mut self.has_answered, true);
        self.pass_on(if is_later { TunnelSign::Answer } else { TunnelSign::FirstAnswer });
    }

    fn broken(&mut self) {
        self.pass_on(TunnelSign::Broken);
    }
}

impl Drop for Watcher {
    fn drop(&mut self) {
        self.pass_on(TunnelSign::Closed);
    }
}

/// The tunnels of other hosts through this one.
pub(crate) struct ServedTunnels {
    max: usize,
    /// Cloned for each open tunnel.
    counter: Arc<()>,
    /// Dropping a sender closes the tunnels to its upstream.
    upstreams: RefCell<HashMap<Incarnation, watch::Sender<()>>>,
    /// Set when this host stops.
    stopping: watch::Sender<bool>,
    /// Tunnels that wait until an upstream was probed.
    waiting: RefCell<HashMap<Incarnation, Vec<TunnelCall>>>,
    /// Number of the next tunnel.
    next: Cell<u64>,
    events: mpsc::UnboundedSender<TunnelEvent>,
}

impl ServedTunnels {
    /// Creates the state of a process that may use `memory_bytes`, if stated.
    pub(crate) fn new(
        memory_bytes: Option<u64>,
        events: mpsc::UnboundedSender<TunnelEvent>,
    ) -> Self {
        let by_memory = |bytes: u64| (bytes / MEMORY_DIVISOR / TUNNEL_BYTES) as usize;
        Self {
            max: memory_bytes.map_or(DEFAULT_MAX_TUNNELS, by_memory),
            counter: Arc::default(),
            upstreams: RefCell::default(),
            stopping: watch::Sender::new(false),
            waiting: RefCell::default(),
            next: Cell::default(),
            events,
        }
    }

    /// Returns the number of open tunnels.
    pub(crate) fn open(&self) -> usize {
        Arc::strong_count(&self.counter) - 1
    }

    /// Returns the number of tunnels that wait for a probe.
    fn waiting(&self) -> usize {
        self.waiting.borrow().values().map(Vec::len).sum()
    }

    /// Closes the tunnels to an upstream.
    pub(crate) fn close(&self, upstream: &Incarnation) {
        self.upstreams.borrow_mut().remove(upstream);
    }

    /// Closes each tunnel once the answer that is under way on it is complete.
    pub(crate) fn stop(&self) {
        self.stopping.send_replace(true);
    }

    /// Forgets the upstreams without a tunnel.
    pub(crate) fn sweep(&self) {
        self.upstreams.borrow_mut().retain(|_, closer| closer.receiver_count() > 0);
    }

    fn next_number(&self) -> u64 {
        self.next.replace(self.next.get() + 1)
    }

    fn watch(&self, upstream: &Incarnation) -> watch::Receiver<()> {
        let mut upstreams = self.upstreams.borrow_mut();
        let closer = upstreams.entry(upstream.clone()).or_insert_with(|| watch::Sender::new(()));
        closer.subscribe()
    }
}

/// What a probe before a tunnel found.
enum Found {
    /// The upstream answers.
    Answers,
    /// Its incarnation has ended.
    Ended,
    /// It does not answer, while another one does.
    Unreachable,
    /// Neither it nor others answer.
    CutOff,
}

impl Hub {
    /// Handles what concerns the tunnels of other hosts.
    pub(crate) fn tunnel_event(self: &Rc<Self>, event: TunnelEvent) {
        match event {
            TunnelEvent::Requested(call) => self.tunnel_requested(call),
            TunnelEvent::Seen { number, upstream, sign } => {
                self.tunnel_seen(AttemptId::Served(number), upstream, sign);
            }
        }
    }

    fn tunnel_seen(self: &Rc<Self>, attempt: AttemptId, upstream: Incarnation, sign: TunnelSign) {
        match sign {
            TunnelSign::Sent => {
                self.reach_event(Event::Sent { attempt, upstream, exit: None });
            }
            TunnelSign::FirstAnswer => self.reach_event(Event::Proven(upstream)),
            TunnelSign::Answer => self.reach_event(Event::Heard(upstream)),
            TunnelSign::Broken => self.reach_event(Event::ConnectFailed(upstream)),
            TunnelSign::Closed => {}
        }
        if sign != TunnelSign::Sent {
            self.reach_event(Event::Ended { attempt, is_broken: false });
        }
    }

    /// Decides on a tunnel that another host wants to open through this one.
    fn tunnel_requested(self: &Rc<Self>, call: TunnelCall) {
        let upstream = call.request.upstream.clone();
        if let Err(refusal) = self.may_serve(&upstream) {
            return self.answer_tunnel(call, Err(refusal));
        }
        let offer = self.reach.borrow().offer(self.clock.now(), &upstream);
        match offer {
            Offer::Refuse => self.answer_tunnel(call, Err(TunnelRefusal::CutOff)),
            Offer::Accept if !call.request.must_probe => self.accept_tunnel(call),
            Offer::Accept | Offer::Probe => self.probe_for(upstream, call),
        }
    }

    fn may_serve(&self, upstream: &Incarnation) -> Result<(), TunnelRefusal> {
        if self.is_leaving() {
            return Err(TunnelRefusal::Leaving);
        }
        if self.dispatch.borrow().upstream_state(upstream).is_none() {
            return Err(TunnelRefusal::Unknown);
        }
        if self.served_tunnels.open() + self.served_tunnels.waiting() >= self.served_tunnels.max {
            return Err(TunnelRefusal::Busy);
        }
        Ok(())
    }

    fn accept_tunnel(&self, call: TunnelCall) {
        let upstream = &call.request.upstream;
        let state = self.dispatch.borrow().upstream_state(upstream).cloned();
        let served = &self.served_tunnels;
        let target = state.map(|state| TunnelTarget {
            address: state.address,
            watcher: Box::new(Watcher {
                number: served.next_number(),
                upstream: upstream.clone(),
                has_answered: false,
                events: served.events.clone(),
            }),
            closed: served.watch(upstream),
            stopping: served.stopping.subscribe(),
            guard: Box::new(served.counter.clone()),
        });
        self.answer_tunnel(call, target.ok_or(TunnelRefusal::Unknown));
    }

    fn answer_tunnel(&self, call: TunnelCall, decision: Result<TunnelTarget, TunnelRefusal>) {
        let TunnelCall { from, request, decide } = call;
        let outcome = decision.as_ref().map_or_else(|refusal| refusal.to_string(), |_| "ok".into());
        telemetry::tunnel_served(decision.is_ok());
        log::debug!(
            "event=tunnel_asked upstream={} by={from} outcome=\"{outcome}\"",
            request.upstream
        );
        // The link may have broken meanwhile.
        let _ = decide.send(decision);
    }

    /// Probes an upstream, and then answers all that wait for it.
    fn probe_for(self: &Rc<Self>, upstream: Incarnation, call: TunnelCall) {
        let is_running = {
            let mut waiting = self.served_tunnels.waiting.borrow_mut();
            let is_running = waiting.contains_key(&upstream);
            waiting.entry(upstream.clone()).or_default().push(call);
            is_running
        };
        if is_running {
            return;
        }
        let hub = self.clone();
        tokio::task::spawn_local(async move {
            let found = hub.probe_before_tunnel(&upstream).await;
            let calls = hub.served_tunnels.waiting.borrow_mut().remove(&upstream);
            for call in calls.unwrap_or_default() {
                match found {
                    Found::Answers => hub.accept_tunnel(call),
                    Found::Ended => hub.answer_tunnel(call, Err(TunnelRefusal::Ended)),
                    Found::Unreachable => hub.answer_tunnel(call, Err(TunnelRefusal::Unreachable)),
                    Found::CutOff => hub.answer_tunnel(call, Err(TunnelRefusal::CutOff)),
                }
            }
        });
    }

    async fn probe_before_tunnel(self: &Rc<Self>, upstream: &Incarnation) -> Found {
        let mut asked = Box::pin(self.ask_directly(upstream));
        let mut compared = Box::pin(async {
            sleep(COMPARISON_DELAY).await;
            self.reaches_others(upstream).await
        });
        let mut reaches_others = None;
        let answer = timeout(PROBE_TIMEOUT, async {
            loop {
                tokio::select! {
                    biased;
                    answer = &mut asked => break answer,
                    is_reached = &mut compared, if reaches_others.is_none() => {
                        reaches_others = Some(is_reached);
                    }
                }
            }
        });
        let answer = answer.await.ok();
        match answer {
            Some(Asked::Answered) => return self.found_answering(upstream),
            Some(Asked::Ended) => return Found::Ended,
            Some(Asked::Unanswered(_)) | None => {}
        }
        let reaches_others = match reaches_others {
            Some(is_reached) => is_reached,
            None => self.reaches_others(upstream).await,
        };
        if !reaches_others {
            self.reach_event(Event::ConnectFailed(upstream.clone()));
            return Found::CutOff;
        }
        if answer == Some(Asked::Unanswered(Some(CrashSign::Ended))) {
            // Its connections are refused, so it was not just silent.
            return Found::Unreachable;
        }
        match timeout(LAST_TIMEOUT, self.ask_directly(upstream)).await {
            Ok(Asked::Answered) => self.found_answering(upstream),
            Ok(Asked::Ended) => Found::Ended,
            Ok(Asked::Unanswered(_)) | Err(_) => Found::Unreachable,
        }
    }

    fn found_answering(self: &Rc<Self>, upstream: &Incarnation) -> Found {
        self.reach_event(Event::Proven(upstream.clone()));
        Found::Answers
    }

    /// Whether another upstream answers on a new connection.
    pub(crate) async fn reaches_others(self: &Rc<Self>, upstream: &Incarnation) -> bool {
        let others = self.comparable(upstream);
        let ask = async |(number, other): (usize, Incarnation)| {
            sleep(COMPARISON_DELAY * number as u32).await;
            let is_answered = self.ask_directly(&other).await == Asked::Answered;
            is_answered.then_some(other)
        };
        let mut asked: FuturesUnordered<_> = others.into_iter().enumerate().map(ask).collect();
        let first = async {
            loop {
                match asked.next().await {
                    Some(None) => {}
                    found => break found.flatten(),
                }
            }
        };
        let found = timeout(PROBE_TIMEOUT - COMPARISON_DELAY, first).await.ok().flatten();
        let is_found = found.is_some();
        found.into_iter().for_each(|other| self.reach_event(Event::Proven(other)));
        is_found
    }

    /// Returns a few other upstreams, those that were heard last if there are any.
    fn comparable(&self, upstream: &Incarnation) -> Vec<Incarnation> {
        let mut others = self.reach.borrow().recently_heard(upstream, COMPARED);
        let dispatch = self.dispatch.borrow();
        let unheard = dispatch.upstreams().filter(|id| *id != upstream && !others.contains(id));
        let unheard: Vec<Incarnation> = unheard.take(COMPARED - others.len()).cloned().collect();
        others.extend(unheard);
        others
    }
}
