//! The loop that owns the core.

use crate::{board::Board, engine::Lanes, store::Store, telemetry};
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

/// What other threads tell the loop.
pub(crate) enum Input {
    /// Something happened.
    Core(Event),
    /// A request arrived; decisions go to the sender.
    Arrive(Arrival, Sender<Decision>),
    /// Something happened on a link.
    Link(peer::Event),
    /// Somebody wants the state.
    Dump(Sender<serde_json::Value>),
    /// End at once.
    Quit,
}

/// What the loop decides for a request.
#[derive(Debug)]
pub(crate) enum Decision {
    /// Call this upstream, then report how it ended.
    Call {
        /// The upstream.
        upstream: Name,
        /// Its base address.
        url: Name,
        /// The entry to use there.
        entry: Name,
    },
    /// Refuse, at once.
    Refuse(Refused),
    /// Give this kept answer.
    Replay(Arc<Answer>),
}

/// The threads that carry actions out.
pub(crate) struct Hands {
    pub board: Arc<Board>,
    pub store: Store,
    pub lanes: Lanes,
    pub links: Links,
}

/// Between two ticks of the core.
const TICK: Duration = Duration::from_millis(50);
/// Between two updates of the metrics.
const MEASURE: Duration = Duration::from_secs(2);
/// Longest wait of the loop.
const LONGEST_WAIT: Duration = Duration::from_millis(500);

/// The actor that owns the core.
struct Hub {
    core: Core,
    hands: Hands,
    waiting: HashMap<u64, Sender<Decision>>,
}

impl Hub {
    fn init(cx: CX![], core: Core, hands: Hands) -> Option<Self> {
        after!(TICK, [cx], tick());
        after!(MEASURE, [cx], measure());
        Some(Self { core, hands, waiting: HashMap::new() })
    }

    fn tick(&mut self, cx: CX![]) {
        after!(TICK, [cx], tick());
        self.event(cx, Event::Tick);
    }

    /// Brings the metrics up to date.
    fn measure(&mut self, cx: CX![]) {
        after!(MEASURE, [cx], measure());
        telemetry::gauges(&self.hands.board.settings.host, &self.core, &self.hands.links);
        telemetry::upkeep();
    }

    fn input(&mut self, cx: CX![], input: Input) {
        match input {
            Input::Core(event) => self.ended(event, cx),
            Input::Arrive(arrival, sender) => {
                self.waiting.insert(arrival.request.id, sender);
                self.event(cx, Event::Arrive(arrival));
            }
            Input::Link(peer::Event::Message { from, bytes }) => match peer::decode(&bytes) {
                Some(frame) => self.event(cx, Event::Frame(from, frame)),
                None => log::warn!("event=frame-unreadable from={from} bytes={}", bytes.len()),
            },
            Input::Link(peer::Event::Broken { to }) => {
                log::debug!("event=link-broken to={to}");
            }
            Input::Dump(sender) => {
                // The asker may have gone.
                let _ = sender.send(self.core.dump());
            }
            Input::Quit => cx.stop(),
        }
    }

    /// Passes an event on; an exchange that is over waits for no decision.
    fn ended(&mut self, event: Event, cx: CX![]) {
        if let Event::Ended { id, end, response_started: sent, .. } = &event
            && (*sent || matches!(end, AttemptEnd::Completed | AttemptEnd::CallerGone))
        {
            self.waiting.remove(id);
        }
        self.event(cx, event);
    }

    fn event(&mut self, cx: CX![], event: Event) {
        let now = self.hands.board.clock.now();
        let actions = self.core.handle(now, event);
        for action in actions {
            self.act(cx, action);
        }
        self.hands.board.ready.store(self.core.is_ready(), Ordering::Relaxed);
    }

    fn act(&mut self, cx: CX![], action: Action) {
        match action {
            Action::Call { id, upstream, url, entry } => {
                self.decide(id, Decision::Call { upstream, url, entry }, false);
            }
            Action::Refuse(id, refused) => self.decide(id, Decision::Refuse(refused), true),
            Action::Replay(id, answer) => self.decide(id, Decision::Replay(answer), true),
            Action::Get(key) => self.hands.store.get(key),
            Action::Put { key, base, bytes } => self.hands.store.put(key, base, bytes),
            Action::Watch(on) => self.hands.board.watching.store(on, Ordering::Relaxed),
            Action::Poll(runner, url) => self.hands.lanes.poll(runner, url),
            Action::Fence(runner, url, epoch) => self.hands.lanes.fence(runner, url, epoch),
            Action::Order(runner, url, order) => self.hands.lanes.order(runner, url, order),
            Action::Send(to, address, frame) => match address.parse::<SocketAddr>() {
                Ok(address) => self.hands.links.send(&to, address, &frame),
                Err(_) => log::warn!("event=address-unreadable host={to} address={address}"),
            },
            Action::RevisionApplied(revision) => self.hands.board.set_revision(revision),
            Action::Log(line) => log::info!("{line} host={}", self.hands.board.settings.host),
            Action::Stopped => cx.stop(),
        }
    }

    fn decide(&mut self, id: u64, decision: Decision, last: bool) {
        let sent = self.waiting.get(&id).is_some_and(|sender| sender.send(decision).is_ok());
        if last || !sent {
            self.waiting.remove(&id);
        }
        if !sent && !last {
            log::warn!("event=exchange-lost request={id}");
        }
    }
}

/// Runs the loop until the core has stopped.
pub(crate) fn run(core: Core, hands: Hands, inbox: &Receiver<Input>) {
    let mut stakker = Stakker::new(Instant::now());
    let s = &mut stakker;
    let hub = actor!(s, Hub::init(core, hands), ret_nop!());
    loop {
        s.run(Instant::now(), false);
        if hub.is_zombie() {
            return;
        }
        let wait = s.next_wait_max(Instant::now(), LONGEST_WAIT, false);
        match inbox.recv_timeout(wait) {
            Ok(input) => {
                call!([hub], input(input));
                // What else has come is handled in the same round.
                while let Ok(input) = inbox.try_recv() {
                    call!([hub], input(input));
                }
            }
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return,
        }
    }
}
