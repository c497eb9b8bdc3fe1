//! Model of the slots of one plain upstream: an owner and its successor, two hosts that ask for
//! slots, and messages that are lost, doubled or arrive in any order.
//!
//! Time passes in ticks. The successor takes over when the first owner is gone, with all messages
//! to and from it. Load reports are exact.

use crate::{State, Steps};
use std::collections::{BTreeMap, BTreeSet};
use vanetally_slots::{Client, Guards, Owner, Received, Reply, SlotAnswer, SlotEnd, SlotRequest};
use vanetally_types::{Name, Rank, Tick};

/// Bounds and switches of the model.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Options {
    /// Guards of the owners.
    pub guards: Guards,
    /// Whether hosts release grants that arrive after their requests have ended.
    pub releases_late_grants: bool,
    /// Maximum number of requests of each host.
    pub requests: u8,
    /// Maximum number of messages that are lost.
    pub losses: u8,
    /// Maximum number of messages that are doubled.
    pub duplicates: u8,
    /// Maximum number of requests that end before they are sent.
    pub withdrawals: u8,
    /// Maximum number of hosts that end, of which the owner learns.
    pub ends: u8,
    /// Maximum number of hosts that end without the owner learning of it.
    pub silent_ends: u8,
    /// Maximum number of changes of the owner.
    pub takeovers: u8,
    /// Maximum number of ticks that pass.
    pub ticks: u8,
}

/// A message in flight.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum InFlight {
    Acquire { host: Name, number: u64 },
    Answer { host: Name, number: u64, answer: SlotAnswer },
    Release { host: Name, number: u64, end: SlotEnd },
}

/// One asking host.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Host {
    client: Client<u8>,
    /// Requests that wait for a slot, with the time of their arrival.
    waiting: BTreeMap<u8, Tick>,
    /// Requests at the upstream, with the time of their arrival.
    running: BTreeMap<u8, Tick>,
    requests: u8,
    is_gone: bool,
}

/// State of the model.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Slots {
    options: Options,
    now: Tick,
    owner: Owner,
    owner_name: Name,
    hosts: BTreeMap<Name, Host>,
    in_flight: BTreeSet<InFlight>,
    /// Numbers whose release has reached the owner, and when.
    released: BTreeMap<(Name, u64), Tick>,
    /// Whether a message was lost.
    has_loss: bool,
    /// Since when the owner counts more grants than hosts may hold.
    surplus_since: Option<Tick>,
    violation: Option<&'static str>,
}

/// Slots that the upstream announces; one more is granted.
const SLOTS: u32 = 1;
const CAPACITY: usize = 2;
const START: Tick = Tick(10_000);
/// Milliseconds of one tick.
const TICK_MS: u64 = 300;
/// Maximum duration of a request, after which its host ends it.
const HOLD_MS: u64 = 3 * TICK_MS;
/// Time after its release for which a request is certainly not granted again.
const ENDED_MS: u64 = 1_000;
const WAIT_MS: u32 = 2_000;

impl Slots {
    /// No request is open.
    pub fn new(options: Options) -> Self {
        let client = Client::new(0);
        let client =
            if options.releases_late_grants { client } else { client.without_late_releases() };
        let host = Host {
            client,
            waiting: BTreeMap::new(),
            running: BTreeMap::new(),
            requests: 0,
            is_gone: false,
        };
        Self {
            options,
            now: START,
            owner: Owner::with_guards(options.guards),
            owner_name: "owner-0".into(),
            hosts: BTreeMap::from([("a".into(), host.clone()), ("b".into(), host)]),
            in_flight: BTreeSet::new(),
            released: BTreeMap::new(),
            has_loss: false,
            surplus_since: None,
            violation: None,
        }
    }

    fn request() -> SlotRequest {
        SlotRequest {
            upstream: "i-1".into(),
            slots: SLOTS,
            rank: Rank(1, 1),
            wait_ms: WAIT_MS,
            is_late: false,
            hold_ms: HOLD_MS as u32,
            brittle: None,
        }
    }

    fn running(&self) -> usize {
        self.hosts.values().map(|host| host.running.len()).sum()
    }

    fn add_step(&self, steps: &mut Steps<Self>, label: &str, change: impl FnOnce(&mut Self)) {
        let mut next = self.clone();
        change(&mut next);
        next.owner.take_changes();
        next.check();
        steps.add(|| format!("{label} at {}", (self.now.0 - START.0) / TICK_MS), next);
    }

    fn host(&mut self, name: &Name) -> Option<&mut Host> {
        self.hosts.get_mut(name).filter(|host| !host.is_gone)
    }

    fn reply(&mut self, replies: Vec<Reply>) {
        for Reply { host, number, answer, .. } in replies {
            // Expected times do not matter here.
            let answer = match answer {
                SlotAnswer::Queued { .. } => SlotAnswer::Queued { expected_ms: 0 },
                other => other,
            };
            let released = self.released.get(&(host.clone(), number));
            let is_ended = released.is_some_and(|at| self.now.since(*at) <= ENDED_MS);
            if is_ended && answer == SlotAnswer::Granted {
                self.violation = Some("a slot was granted after its release");
            }
            if self.host(&host).is_some() {
                self.in_flight.insert(InFlight::Answer { host, number, answer });
            }
        }
    }

    fn arrive(&mut self, name: &Name) {
        let (now, owner) = (self.now, self.owner_name.clone());
        let Some(host) = self.host(name) else { return };
        let key = host.requests;
        host.requests += 1;
        host.waiting.insert(key, now);
        let number = host.client.request(now, key, &owner, &Self::request());
        self.in_flight.insert(InFlight::Acquire { host: name.clone(), number });
    }

    /// Ends a request of a host: withdrawn, answered, or out of time.
    fn end(&mut self, name: &Name, key: u8, end: SlotEnd) {
        let now = self.now;
        let Some(host) = self.host(name) else { return };
        host.waiting.remove(&key);
        host.running.remove(&key);
        if let Some(closed) = host.client.close(now, key) {
            let (host, number) = (name.clone(), closed.number);
            self.in_flight.insert(InFlight::Release { host, number, end });
        }
    }

    fn deliver(&mut self, in_flight: &InFlight) {
        let now = self.now;
        match in_flight.clone() {
            InFlight::Acquire { host, number } => {
                let running = self.running() as u32;
                let replies = self.owner.acquire(now, (&host, number), &Self::request(), running);
                self.reply(replies);
            }
            InFlight::Release { host, number, end } => {
                self.released.insert((host.clone(), number), now);
                let replies = self.owner.release(now, (&host, number), &"i-1".into(), end);
                self.reply(replies);
            }
            InFlight::Answer { host: name, number, answer } => {
                let owner = self.owner_name.clone();
                let Some(host) = self.host(&name) else { return };
                match host.client.answered(now, &owner, number, answer) {
                    Received::Decided(key, SlotAnswer::Granted) => {
                        if let Some(at) = host.waiting.remove(&key) {
                            host.running.insert(key, at);
                        }
                    }
                    Received::Decided(key, _) => drop(host.waiting.remove(&key)),
                    Received::Nothing => {}
                    Received::Unneeded => {
                        let end = SlotEnd::Unused;
                        self.in_flight.insert(InFlight::Release { host: name, number, end });
                    }
                }
            }
        }
    }

    /// Lets time pass: hosts end the requests that are out of time, and the owner what is overdue.
    fn pass_time(&mut self) {
        self.now = self.now + TICK_MS;
        let now = self.now;
        let is_over = |at: &Tick| now.since(*at) >= HOLD_MS;
        let ended: Vec<(Name, u8)> = self
            .hosts
            .iter()
            .flat_map(|(name, host)| {
                let all = host.waiting.iter().chain(&host.running);
                let over = all.filter(|(_, at)| is_over(at));
                over.map(|(key, _)| (name.clone(), *key)).collect::<Vec<_>>()
            })
            .collect();
        ended.into_iter().for_each(|(name, key)| self.end(&name, key, SlotEnd::Used));
        let running = self.running() as u32;
        let replies = self.owner.tick(now, |_| running);
        self.reply(replies);
    }

    /// The owner is gone, with all messages to and from it; the hosts turn to its successor.
    fn take_over(&mut self) {
        self.owner = Owner::with_guards(self.options.guards);
        self.owner_name = "owner-1".into();
        self.in_flight.clear();
        self.released.clear();
        self.has_loss = true;
        let now = self.now;
        for host in self.hosts.values_mut() {
            for closed in host.client.owner_gone(now, &"owner-0".into()) {
                host.waiting.remove(&closed.key);
            }
        }
    }

    /// Checks what holds after each step.
    fn check(&mut self) {
        if self.running() > CAPACITY {
            self.violation = Some("more requests run than slots are granted");
        }
        let has_open = self
            .hosts
            .values()
            .any(|host| !(host.is_gone || host.waiting.is_empty() && host.running.is_empty()));
        let is_quiet = self.in_flight.is_empty() && !has_open;
        let is_lost = is_quiet && self.owner.granted() > 0;
        if is_lost && !self.has_loss {
            self.violation = Some("a slot is lost although no message was");
        }
        let since = *self.surplus_since.get_or_insert(self.now);
        if !is_lost {
            self.surplus_since = None;
        } else if self.now.since(since) > self.max_loss_ms() {
            self.violation = Some("a slot is lost for longer than its bound");
        }
    }

    /// Returns how long a slot may be lost. A host that lives is told again of its grant.
    fn max_loss_ms(&self) -> u64 {
        if self.hosts.values().any(|host| host.is_gone) { HOLD_MS } else { TICK_MS }
    }

    /// Ends a host, with all messages to and from it.
    fn end_host(&mut self, name: &Name) {
        if let Some(host) = self.hosts.get_mut(name) {
            host.is_gone = true;
            host.waiting.clear();
            host.running.clear();
        }
        self.in_flight.retain(|message| match message {
            InFlight::Acquire { host, .. }
            | InFlight::Answer { host, .. }
            | InFlight::Release { host, .. } => host != name,
        });
    }

    fn message_steps(&self, steps: &mut Steps<Self>) {
        for in_flight in &self.in_flight {
            self.add_step(steps, &format!("arrives: {in_flight:?}"), |next| {
                next.in_flight.remove(in_flight);
                next.deliver(in_flight);
            });
            if self.options.duplicates > 0 {
                self.add_step(steps, &format!("arrives, and again later: {in_flight:?}"), |next| {
                    next.options.duplicates -= 1;
                    next.deliver(in_flight);
                });
            }
            if self.options.losses > 0 {
                self.add_step(steps, &format!("is lost: {in_flight:?}"), |next| {
                    next.options.losses -= 1;
                    next.has_loss = true;
                    next.in_flight.remove(in_flight);
                });
            }
        }
    }

    fn host_steps(&self, steps: &mut Steps<Self>, name: &Name, host: &Host) {
        if host.is_gone {
            return;
        }
        if host.requests < self.options.requests {
            self.add_step(steps, &format!("a request arrives at {name}"), |next| next.arrive(name));
        }
        for key in host.running.keys() {
            self.add_step(steps, &format!("request {key} of {name} is answered"), |next| {
                next.end(name, *key, SlotEnd::Used);
            });
        }
        if self.options.withdrawals > 0 {
            for key in host.waiting.keys() {
                self.add_step(steps, &format!("the caller of {key} at {name} leaves"), |next| {
                    next.options.withdrawals -= 1;
                    next.end(name, *key, SlotEnd::Unused);
                });
            }
        }
        if self.options.ends > 0 {
            self.add_step(steps, &format!("{name} is gone"), |next| {
                next.options.ends -= 1;
                next.end_host(name);
                let replies = next.owner.host_gone(next.now, name);
                next.reply(replies);
            });
        }
        if self.options.silent_ends > 0 {
            self.add_step(steps, &format!("{name} is gone, unnoticed"), |next| {
                next.options.silent_ends -= 1;
                next.has_loss = true;
                next.end_host(name);
            });
        }
    }
}

impl State for Slots {
    fn successors(&self, steps: &mut Steps<Self>) {
        self.message_steps(steps);
        for (name, host) in &self.hosts {
            self.host_steps(steps, name, host);
        }
        if self.options.takeovers > 0 {
            self.add_step(steps, "another host becomes the owner", |next| {
                next.options.takeovers -= 1;
                next.take_over();
            });
        }
        if self.options.ticks > 0 {
            self.add_step(steps, "time passes", |next| {
                next.options.ticks -= 1;
                next.pass_time();
            });
        }
    }

    fn violation(&self) -> Option<String> {
        self.violation.map(str::to_owned)
    }
}
