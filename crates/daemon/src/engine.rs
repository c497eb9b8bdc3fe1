//! Threads that poll runners and give them orders: one for each runner, in order.

use crate::{board::Board, hub::Input};
use serde::Deserialize;
use serde_json::json;
use std::{
    collections::HashMap,
    io::Read,
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

/// What a runner is told or asked.
enum Job {
    Poll,
    Fence(Epoch),
    Order(Order),
}

/// The way to the runners' threads.
pub(crate) struct Lanes {
    board: Arc<Board>,
    caller: Client,
    hub: Sender<Input>,
    lanes: HashMap<(Name, Name), Sender<Job>>,
}

/// For a poll or an order to be answered.
const WITHIN: Duration = Duration::from_secs(3);
/// Largest state that a runner reports.
const MOST_STATE: u64 = 4_000_000;
/// A runner's thread without work ends after this long.
const IDLE: Duration = Duration::from_secs(60);
const STACK: usize = 256 * 1024;

/// A runner's answer to any of the three.
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
    /// Why an order was not carried out.
    #[serde(default)]
    refusal: Option<Refusal>,
}

impl Lanes {
    /// No threads yet; what they learn goes to `hub`.
    pub fn new(board: Arc<Board>, caller: Client, hub: Sender<Input>) -> Self {
        Self { board, caller, hub, lanes: HashMap::new() }
    }

    /// Asks for the runner's state.
    pub fn poll(&mut self, runner: Name, url: Name) {
        self.send(runner, url, Job::Poll);
    }

    /// Raises the runner's epoch.
    pub fn fence(&mut self, runner: Name, url: Name, epoch: Epoch) {
        self.send(runner, url, Job::Fence(epoch));
    }

    /// Gives an order, once.
    pub fn order(&mut self, runner: Name, url: Name, order: Order) {
        self.send(runner, url, Job::Order(order));
    }

    fn send(&mut self, runner: Name, url: Name, job: Job) {
        let key = (runner, url);
        let Err(failed) = self.lane(&key).send(job) else {
            return;
        };
        // The thread had ended for want of work.
        self.lanes.remove(&key);
        if self.lane(&key).send(failed.0).is_err() {
            log::error!("event=runner-thread-gone runner={}", key.0);
        }
    }

    fn lane(&mut self, key: &(Name, Name)) -> &Sender<Job> {
        self.lanes.entry(key.clone()).or_insert_with(|| {
            let (sender, inbox) = channel();
            let lane = Lane {
                runner: key.0.clone(),
                url: key.1.clone(),
                board: self.board.clone(),
                caller: self.caller.clone(),
            };
            let hub = self.hub.clone();
            let builder = thread::Builder::new().name("runner".into()).stack_size(STACK);
            if let Err(e) = builder.spawn(move || lane.run(&inbox, &hub)) {
                log::error!("event=thread-failed name=runner error=\"{e}\"");
            }
            sender
        })
    }
}

/// One runner's thread.
struct Lane {
    runner: Name,
    url: Name,
    board: Arc<Board>,
    caller: Client,
}

impl Lane {
    fn run(&self, inbox: &Receiver<Job>, hub: &Sender<Input>) {
        while let Ok(job) = inbox.recv_timeout(IDLE) {
            let event = match job {
                Job::Poll => self.poll(),
                Job::Fence(epoch) => self.fence(epoch),
                Job::Order(order) => self.order(&order),
            };
            if hub.send(Input::Core(event)).is_err() {
                return;
            }
        }
    }

    fn poll(&self) -> Event {
        let asked = self.board.clock.now();
        let state = self.ask("GET", "/engine/state", Vec::new());
        let polled = state.ok().filter(|(status, _)| *status == 200).map(|(_, s)| PollReply {
            report: s.report,
            running: s.running + s.queued,
            leaving: s.leaving,
        });
        Event::Polled { runner: self.runner.clone(), polled_at: asked, reply: polled }
    }

    fn fence(&self, epoch: Epoch) -> Event {
        let body = json!({"epoch": epoch}).to_string().into_bytes();
        let fenced = match self.ask("POST", "/engine/fence", body) {
            Ok((200, state)) => FenceReply::Accepted(state.report),
            Ok((409, state)) => FenceReply::StaleEpoch(Epoch(state.report.epoch)),
            _ => FenceReply::Unanswered,
        };
        Event::Fenced(self.runner.clone(), epoch, fenced)
    }

    fn order(&self, order: &Order) -> Event {
        let body = serde_json::to_vec(order).unwrap_or_default();
        let ordered = match self.ask("POST", "/engine/order", body) {
            Ok((200 | 202, state)) => OrderReply::Answered(Ok(()), state.report),
            Ok((409, state)) => match state.refusal {
                Some(Refusal::Stale) | None => OrderReply::StaleEpoch(Epoch(state.report.epoch)),
                Some(refusal) => OrderReply::Answered(Err(refusal), state.report),
            },
            _ => OrderReply::Unanswered,
        };
        Event::Ordered(self.runner.clone(), order.epoch, order.seq, ordered)
    }

    fn ask(&self, method: &str, path: &str, body: Vec<u8>) -> anyhow::Result<(u16, State)> {
        let call = Call {
            method: method.to_owned(),
            url: format!("{}{path}", self.url.trim_end_matches('/')),
            headers: vec![("Content-Type".into(), "application/json".into())],
            body,
            timeout: WITHIN,
        };
        let answer = self.caller.send(&call)?;
        let mut bytes = Vec::new();
        answer.body.take(MOST_STATE).read_to_end(&mut bytes)?;
        Ok((answer.status, serde_json::from_slice(&bytes)?))
    }
}
