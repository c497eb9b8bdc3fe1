//! The event loop that owns the core.

use crate::{platform::PlatformThreads, runner::RunnerThreads, shared::Shared, telemetry};
use stakker::{CX, Stakker, actor, after, call, ret_nop};
use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::Ordering,
        mpsc::{Receiver, RecvTimeoutError, Sender},
    },
    time::{Duration, Instant},
};
use vanetally_claim::Answer;
use vanetally_core::{Action, Arrival, Core, Event, Refused};
use vanetally_link::peer::{self, Links};
use vanetally_route::AttemptEnd;
use vanetally_types::Name;

/// A message from another thread to the event loop.
pub(crate) enum Input {
    /// An event for the core.
    Core(Event),
    /// A request arrived; its decisions are sent to the sender.
    Arrive(Arrival, Sender<Decision>),
    /// An event of a link.
    Link(peer::Event),
    /// A request for a state dump, which is sent to the sender.
    Dump(Sender<serde_json::Value>),
    /// Stop the loop immediately.
    Quit,
}

/// A decision of the core on a request.
#[derive(Debug)]
pub(crate) enum Decision {
    /// Call this upstream, then report the end of the attempt.
    Call {
        /// The upstream's name.
        upstream: Name,
        /// Its base URL.
        url: Name,
        /// Id of the entry to request from it.
        entry: Name,
    },
    /// Refuse the request.
    Refuse(Refused),
    /// Send this stored answer.
    Replay(Arc<Answer>),
}

/// The threads that execute the core's actions, with the state that they share.
pub(crate) struct Executors {
    pub shared: Arc<Shared>,
    pub platform: PlatformThreads,
    pub runners: RunnerThreads,
    pub links: Links,
}

/// Interval between ticks of the core.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Interval between updates of the metrics.
const METRICS_INTERVAL: Duration = Duration::from_secs(2);
/// Maximum time that the loop waits for input.
const MAX_WAIT: Duration = Duration::from_millis(500);

/// The actor that owns the core.
struct Hub {
    core: Core,
    executors: Executors,
    /// Senders of the exchanges that wait for a decision, by the request's number.
    exchanges: HashMap<u64, Sender<Decision>>,
}

impl Hub {
    fn init(cx: CX![], core: Core, executors: Executors) -> Option<Self> {
        after!(TICK_INTERVAL, [cx], tick());
        after!(METRICS_INTERVAL, [cx], update_metrics());
        Some(Self { core, executors, exchanges: HashMap::new() })
    }

    fn tick(&mut self, cx: CX![]) {
        after!(TICK_INTERVAL, [cx], tick());
        self.handle(cx, Event::Tick);
    }

    fn update_metrics(&mut self, cx: CX![]) {
        after!(METRICS_INTERVAL, [cx], update_metrics());
        telemetry::update(&self.executors.shared.settings.host, &self.core, &self.executors.links);
        telemetry::upkeep();
    }

    fn input(&mut self, cx: CX![], input: Input) {
        match input {
            Input::Core(event) => self.handle_core(event, cx),
            Input::Arrive(arrival, sender) => {
                self.exchanges.insert(arrival.request.id, sender);
                self.handle(cx, Event::Arrive(arrival));
            }
            Input::Link(peer::Event::Message { from, bytes }) => match peer::decode(&bytes) {
                Some(frame) => self.handle(cx, Event::Frame(from, frame)),
                None => log::warn!("event=frame-unreadable from={from} bytes={}", bytes.len()),
            },
            Input::Link(peer::Event::Broken { to }) => {
                log::debug!("event=link-broken to={to}");
            }
            // The daemon serves no tunnels; without a decision they are refused.
            Input::Link(peer::Event::Tunnel { .. }) => {}
            Input::Dump(sender) => {
                // Fails if the requester has stopped waiting.
                let _ = sender.send(self.core.dump());
            }
            Input::Quit => cx.stop(),
        }
    }

    /// Handles an event; removes the sender of an exchange that has ended.
    fn handle_core(&mut self, event: Event, cx: CX![]) {
        if let Event::Ended { id, end, response_started, .. } = &event
            && (*response_started || matches!(end, AttemptEnd::Completed | AttemptEnd::CallerGone))
        {
            self.exchanges.remove(id);
        }
        self.handle(cx, event);
    }

    /// Passes an event to the core and executes its actions.
    fn handle(&mut self, cx: CX![], event: Event) {
        let now = self.executors.shared.clock.now();
        let actions = self.core.handle(now, event);
        for action in actions {
            self.execute(cx, action);
        }
        self.executors.shared.ready.store(self.core.is_ready(), Ordering::Relaxed);
    }

    fn execute(&mut self, cx: CX![], action: Action) {
        match action {
            Action::Call { id, upstream, url, entry } => {
                self.send_decision(id, Decision::Call { upstream, url, entry }, false);
            }
            Action::Refuse(id, refused) => self.send_decision(id, Decision::Refuse(refused), true),
            Action::Replay(id, answer) => self.send_decision(id, Decision::Replay(answer), true),
            Action::Get(key) => self.executors.platform.get(key),
            Action::Put { key, base, bytes } => self.executors.platform.put(key, base, bytes),
            Action::Watch(on) => self.executors.shared.watches_config.store(on, Ordering::Relaxed),
            Action::Poll(runner, url) => self.executors.runners.poll(runner, url),
            Action::Fence(runner, url, epoch) => self.executors.runners.fence(runner, url, epoch),
            Action::Order(runner, url, order) => self.executors.runners.order(runner, url, order),
            Action::Send(to, address, frame) => match address.parse::<SocketAddr>() {
                Ok(address) => self.executors.links.send(&to, address, &frame),
                Err(_) => log::warn!("event=address-unreadable host={to} address={address}"),
            },
            Action::RevisionApplied(revision) => self.executors.shared.set_revision(revision),
            Action::Log(line) => log::info!("{line} host={}", self.executors.shared.settings.host),
            Action::Stopped => cx.stop(),
        }
    }

    /// Sends a decision to its exchange; after the `last` one the exchange is removed.
    fn send_decision(&mut self, id: u64, decision: Decision, last: bool) {
        let sent = self.exchanges.get(&id).is_some_and(|sender| sender.send(decision).is_ok());
        if last || !sent {
            self.exchanges.remove(&id);
        }
        if !sent && !last {
            log::warn!("event=exchange-lost request={id}");
        }
    }
}

/// Runs the event loop until the core has stopped.
pub(crate) fn run(core: Core, executors: Executors, inbox: &Receiver<Input>) {
    let mut stakker = Stakker::new(Instant::now());
    let s = &mut stakker;
    let hub = actor!(s, Hub::init(core, executors), ret_nop!());
    loop {
        s.run(Instant::now(), false);
        if hub.is_zombie() {
            return;
        }
        let wait = s.next_wait_max(Instant::now(), MAX_WAIT, false);
        match inbox.recv_timeout(wait) {
            Ok(input) => {
                call!([hub], input(input));
                // Handles all queued input in the same iteration.
                while let Ok(input) = inbox.try_recv() {
                    call!([hub], input(input));
                }
            }
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return,
        }
    }
}
