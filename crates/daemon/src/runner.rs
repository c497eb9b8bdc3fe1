//! Threads that call runners: one for each runner, so that its calls stay in order.

use crate::{answer_room::AnswerRoom, hub::Input, shared::Shared};
use serde::Deserialize;
use serde_json::json;
use std::{
    collections::HashMap,
    sync::{
        Arc,
        mpsc::{Receiver, Sender, channel},
    },
    thread,
    time::Duration,
};
use vanetally_core::{Event, FenceReply, OrderReply, PollReply};
use vanetally_ledger::{Epoch, Order, Refusal, Report};
use vanetally_link::call::{Call, Client};
use vanetally_types::Name;

/// A call to a runner.
enum RunnerCall {
    Poll,
    Fence(Epoch),
    Order(Order),
}

/// The clients for calls to runners.
#[derive(Clone)]
pub(crate) struct RunnerClients {
    /// For polls, which are repeated and state epoch and sequence.
    pub polls: Client,
    /// For fences and orders, whose answers name no call: it keeps no connections.
    pub orders: Client,
    /// Room for what runners answer.
    pub room: AnswerRoom,
}

/// The threads of all runners.
pub(crate) struct RunnerThreads {
    shared: Arc<Shared>,
    clients: RunnerClients,
    hub: Sender<Input>,
    /// Call senders by the runner's name and URL.
    senders: HashMap<(Name, Name), Sender<RunnerCall>>,
}

/// Timeout of a call.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);
/// Maximum size of a runner's answer.
const MAX_STATE_BYTES: usize = 4_000_000;
/// Time after which a thread without calls ends.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
const STACK_BYTES: usize = 256 * 1024;

/// A runner's answer to any call.
#[derive(Deserialize)]
struct State {
    #[serde(flatten)]
    report: Report,
    #[serde(default)]
    running: u32,
    #[serde(default)]
    queued: u32,
    #[serde(default)]
    leaving: bool,
    /// Why an order was refused.
    #[serde(default)]
    refusal: Option<Refusal>,
}

impl RunnerThreads {
    /// Creates the set without threads; answers are sent to `hub`.
    pub fn new(shared: Arc<Shared>, clients: RunnerClients, hub: Sender<Input>) -> Self {
        Self { shared, clients, hub, senders: HashMap::new() }
    }

    /// Requests the runner's state.
    pub fn poll(&mut self, runner: Name, url: Name) {
        self.send(runner, url, RunnerCall::Poll);
    }

    /// Raises the runner's epoch.
    pub fn fence(&mut self, runner: Name, url: Name, epoch: Epoch) {
        self.send(runner, url, RunnerCall::Fence(epoch));
    }

    /// Sends an order once, without retries.
    pub fn order(&mut self, runner: Name, url: Name, order: Order) {
        self.send(runner, url, RunnerCall::Order(order));
    }

    fn send(&mut self, runner: Name, url: Name, call: RunnerCall) {
        let key = (runner, url);
        let Err(unsent) = self.sender(&key).send(call) else {
            return;
        };
        // The thread ended after its idle timeout.
        self.senders.remove(&key);
        if self.sender(&key).send(unsent.0).is_err() {
            log::error!("event=runner-thread-gone runner={}", key.0);
        }
    }

    /// Returns the sender of the runner's thread, which is started if needed.
    fn sender(&mut self, key: &(Name, Name)) -> &Sender<RunnerCall> {
        self.senders.entry(key.clone()).or_insert_with(|| {
            let (sender, inbox) = channel();
            let thread = RunnerThread {
                runner: key.0.clone(),
                url: key.1.clone(),
                shared: self.shared.clone(),
                clients: self.clients.clone(),
            };
            let hub = self.hub.clone();
            let builder = thread::Builder::new().name("runner".into()).stack_size(STACK_BYTES);
            if let Err(e) = builder.spawn(move || thread.run(&inbox, &hub)) {
                log::error!("event=thread-failed name=runner error=\"{e}\"");
            }
            sender
        })
    }
}

/// The thread of one runner.
struct RunnerThread {
    runner: Name,
    url: Name,
    shared: Arc<Shared>,
    clients: RunnerClients,
}

impl RunnerThread {
    fn run(&self, inbox: &Receiver<RunnerCall>, hub: &Sender<Input>) {
        while let Ok(call) = inbox.recv_timeout(IDLE_TIMEOUT) {
            let event = match call {
                RunnerCall::Poll => self.poll(),
                RunnerCall::Fence(epoch) => self.fence(epoch),
                RunnerCall::Order(order) => self.order(&order),
            };
            if hub.send(Input::Core(event)).is_err() {
                return;
            }
        }
    }

    fn poll(&self) -> Event {
        let polled_at = self.shared.clock.now();
        let answer = self.call(&self.clients.polls, "GET", "/engine/state", Vec::new());
        let reply = answer.ok().filter(|(status, _)| *status == 200).map(|(_, s)| PollReply {
            report: s.report,
            running: s.running + s.queued,
            leaving: s.leaving,
        });
        Event::Polled { runner: self.runner.clone(), polled_at, reply }
    }

    fn fence(&self, epoch: Epoch) -> Event {
        let body = json!({"epoch": epoch}).to_string().into_bytes();
        let reply = match self.call(&self.clients.orders, "POST", "/engine/fence", body) {
            Ok((200, state)) => FenceReply::Accepted(state.report),
            Ok((409, state)) => FenceReply::StaleEpoch(Epoch(state.report.epoch)),
            _ => FenceReply::Unanswered,
        };
        Event::Fenced(self.runner.clone(), epoch, reply)
    }

    fn order(&self, order: &Order) -> Event {
        let body = serde_json::to_vec(order).unwrap_or_default();
        let reply = match self.call(&self.clients.orders, "POST", "/engine/order", body) {
            Ok((200 | 202, state)) => OrderReply::Answered(Ok(()), state.report),
            Ok((409, state)) => match state.refusal {
                Some(Refusal::Stale) | None => OrderReply::StaleEpoch(Epoch(state.report.epoch)),
                Some(refusal) => OrderReply::Answered(Err(refusal), state.report),
            },
            _ => OrderReply::Unanswered,
        };
        Event::Ordered(self.runner.clone(), order.epoch, order.seq, reply)
    }

    fn call(
        &self,
        client: &Client,
        method: &str,
        path: &str,
        body: Vec<u8>,
    ) -> anyhow::Result<(u16, State)> {
        let call = Call {
            method: method.to_owned(),
            url: format!("{}{path}", self.url.trim_end_matches('/')),
            headers: vec![("Content-Type".into(), "application/json".into())],
            body,
            timeout: CALL_TIMEOUT,
        };
        let answer = client.send(&call)?;
        let (status, mut held) = (answer.status, self.clients.room.hold());
        let bytes = answer.read_whole(MAX_STATE_BYTES, |bytes| held.grow(bytes))?;
        Ok((status, serde_json::from_slice(&bytes)?))
    }
}
