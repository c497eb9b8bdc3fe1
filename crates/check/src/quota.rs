//! Model of requests that wait for quota: two hosts and two grantors, the second of which takes over
//! from the first.
//!
//! Messages arrive at any later time, in any order, twice, or never. A host or a grantor may be
//! paused. Callers may leave. Invariants: hosts use no more of a grantor's quota than came in while
//! it was the grantor; no grant is used after its time; and when nothing is under way any more, the
//! grantor has taken exactly what hosts have used.

use crate::{State, Steps};
use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    hash::{Hash, Hasher},
};
use vanetally_ports::{Quota as QuotaOfOrganisation, QuotaUnit};
use vanetally_quota::{
    Asker, Grantor, Guards, QuotaAnswer, Rank, Received, Return, SpendQueries, SpendQuery,
    SpendRequest,
};
use vanetally_types::{Name, Tick, hash128};

/// Bounds and switches of the model.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Options {
    /// Guards of hosts and grantors; each can be switched off.
    pub guards: Guards,
    /// Whether a grantor checks its lease before each answer.
    pub checks_lease: bool,
    /// Maximum number of requests.
    pub requests: u8,
    /// Maximum number of callers that leave while their request waits.
    pub leavers: u8,
    /// Maximum number of lost messages.
    pub losses: u8,
    /// Maximum number of messages that arrive twice.
    pub doubles: u8,
    /// Maximum number of pauses of a host or a grantor.
    pub pauses: u8,
    /// Maximum number of changes of the grantor.
    pub takeovers: u8,
    /// Maximum number of steps of time.
    pub time_steps: u64,
}

/// Length of a step of time, in which the quota of one request comes in.
const STEP_MS: u64 = 125;
const RATE: f64 = 8.0;
/// High enough that the bucket is never full, so that nothing that comes in is lost.
const BURST: f64 = 1_000.0;
const COST: u32 = 1;
/// Longest useful wait of each request.
const WAIT_MS: u64 = 2 * STEP_MS;
/// Time after `WAIT_MS` until which a grant may still be used: the limits for the first answer and
/// for a late grant.
const LATE_MS: u64 = 260;
const START: Tick = Tick(1_000_000);
const HOSTS: usize = 2;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Message {
    Spend { host: usize, grantor: usize, number: u64 },
    Answer { grantor: usize, host: usize, number: u64, answer: QuotaAnswer },
    Cancel { host: usize, grantor: usize, number: u64 },
}

#[derive(Clone, Debug)]
struct Host {
    queries: SpendQueries,
    /// Requests whose answer is awaited, and when they were sent.
    awaited: BTreeMap<u64, Tick>,
    is_paused: bool,
}

#[derive(Clone, Debug)]
struct GrantorHost {
    grantor: Grantor,
    is_paused: bool,
    /// When it began and ceased to hold the lease.
    began: Option<Tick>,
    ended: Option<Tick>,
    /// Grants of this grantor that hosts have used.
    used: u64,
}

/// State of the model.
#[derive(Clone, Debug)]
pub struct Quota {
    options: Options,
    now: Tick,
    hosts: Vec<Host>,
    grantors: Vec<GrantorHost>,
    holder: usize,
    messages: BTreeSet<(Message, u8)>,
    /// Number of a host that used a grant after its time.
    used_late: Option<usize>,
    /// Hash of the text of all else, by which states are compared: the machines contain fractions.
    fingerprint: u128,
}

impl PartialEq for Quota {
    fn eq(&self, other: &Self) -> bool {
        self.fingerprint == other.fingerprint
    }
}

impl Eq for Quota {}

impl Hash for Quota {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.fingerprint.hash(state);
    }
}

fn organisation() -> Name {
    "o".into()
}

fn host_name(host: usize) -> Name {
    ["a", "b"][host].into()
}

fn grantor_name(grantor: usize) -> Name {
    ["g", "h"][grantor].into()
}

impl Quota {
    /// Nothing has been asked for, and the first grantor holds the lease.
    pub fn new(options: Options) -> Self {
        let host = |_| Host {
            queries: SpendQueries::new(0, options.guards),
            awaited: BTreeMap::new(),
            is_paused: false,
        };
        let mut state = Self {
            options,
            now: START,
            hosts: (0..HOSTS).map(host).collect(),
            grantors: (0..2).map(|_| grantor_host(options)).collect(),
            holder: 0,
            messages: BTreeSet::new(),
            used_late: None,
            fingerprint: 0,
        };
        state.grantors[0].began = Some(START);
        state.check_lease(0);
        state.normalize();
        state
    }

    /// Lets a grantor learn whether it holds the lease.
    fn check_lease(&mut self, grantor: usize) {
        let (now, is_holder) = (self.now, self.holder == grantor);
        self.grantors[grantor].grantor.set_granting(now, is_holder);
        self.send_replies(grantor);
    }

    /// The same before an answer.
    fn check_lease_again(&mut self, grantor: usize) {
        if self.options.checks_lease {
            self.check_lease(grantor);
        }
    }

    fn send(&mut self, message: Message) {
        let copies = self.messages.iter().filter(|(sent, _)| *sent == message).count();
        self.messages.insert((message, copies as u8));
    }

    fn send_replies(&mut self, grantor: usize) {
        for reply in self.grantors[grantor].grantor.take_replies() {
            let host = (0..HOSTS).find(|host| host_name(*host) == reply.to.host).unwrap_or(0);
            let (number, answer) = (reply.to.number, reply.answer);
            self.send(Message::Answer { grantor, host, number, answer });
        }
    }

    fn ask(&mut self, host: usize) {
        let grantor = self.holder;
        let query = SpendQuery {
            grantor: grantor_name(grantor),
            organisation: organisation(),
            cost: COST,
            wait_ms: WAIT_MS,
            can_cancel: true,
        };
        let number = self.hosts[host].queries.ask(self.now, query);
        self.hosts[host].awaited.insert(number, self.now);
        self.send(Message::Spend { host, grantor, number });
    }

    fn abandon(&mut self, host: usize, number: u64) {
        self.hosts[host].awaited.remove(&number);
        let returned = self.hosts[host].queries.abandon(self.now, number);
        self.send_return(host, returned);
    }

    fn send_return(&mut self, host: usize, returned: Option<Return>) {
        if let Some(Return::Cancel { grantor, number }) = returned {
            let grantor = usize::from(grantor == grantor_name(1));
            self.send(Message::Cancel { host, grantor, number });
        }
    }

    fn deliver(&mut self, message: Message) {
        match message {
            Message::Spend { host, grantor, number } => {
                self.check_lease_again(grantor);
                let request = SpendRequest {
                    asker: Asker { host: host_name(host), number },
                    organisation: organisation(),
                    cost: COST,
                    rank: Some(Rank::default()),
                    wait_ms: WAIT_MS,
                };
                let answer = self.grantors[grantor].grantor.request(self.now, request);
                self.send(Message::Answer { grantor, host, number, answer });
                self.send_replies(grantor);
            }
            Message::Cancel { host, grantor, number } => {
                self.check_lease_again(grantor);
                let asker = Asker { host: host_name(host), number };
                self.grantors[grantor].grantor.cancel(self.now, &asker);
            }
            Message::Answer { grantor, host, number, answer } => {
                self.answered(grantor, host, number, answer);
            }
        }
    }

    fn answered(&mut self, grantor: usize, host: usize, number: u64, answer: QuotaAnswer) {
        let (now, from) = (self.now, grantor_name(grantor));
        let received = self.hosts[host].queries.answered(now, &from, number, answer);
        match received {
            Received::Answer(answer) => {
                self.hosts[host].queries.take_answer(number);
                let asked = self.hosts[host].awaited.remove(&number);
                if matches!(answer, QuotaAnswer::Granted { .. }) {
                    self.grantors[grantor].used += 1;
                    if asked.is_some_and(|asked| now.since(asked) > WAIT_MS + LATE_MS) {
                        self.used_late = Some(host);
                    }
                }
            }
            Received::Unused(returned) => {
                self.hosts[host].awaited.remove(&number);
                self.send_return(host, Some(returned));
            }
            Received::Waiting | Received::Ignored => {}
        }
    }

    fn pass_time(&mut self) {
        self.now = self.now + STEP_MS;
        for grantor in 0..self.grantors.len() {
            if !self.grantors[grantor].is_paused {
                self.check_lease_again(grantor);
                self.grantors[grantor].grantor.serve(self.now);
                self.send_replies(grantor);
            }
        }
        for host in 0..HOSTS {
            if !self.hosts[host].is_paused {
                self.time_out(host);
            }
        }
    }

    /// Lets a host give up on the requests whose answer is late.
    fn time_out(&mut self, host: usize) {
        let numbers: Vec<u64> = self.hosts[host].awaited.keys().copied().collect();
        for number in numbers {
            let until = self.hosts[host].queries.awaited_until(number);
            if until.is_none_or(|until| until <= self.now) {
                self.abandon(host, number);
            }
        }
    }

    /// The second grantor takes the lease; the first knows at once unless it is paused.
    fn take_over(&mut self) {
        self.options.takeovers -= 1;
        self.grantors[0].ended = Some(self.now);
        self.grantors[1].began = Some(self.now);
        self.holder = 1;
        if !self.grantors[0].is_paused {
            self.check_lease(0);
        }
        self.check_lease(1);
    }

    fn is_paused(&self, message: Message) -> bool {
        match message {
            Message::Spend { grantor, .. } | Message::Cancel { grantor, .. } => {
                self.grantors[grantor].is_paused
            }
            Message::Answer { host, .. } => self.hosts[host].is_paused,
        }
    }

    /// Whether nothing is under way any more.
    fn is_quiescent(&self) -> bool {
        let hosts = self.hosts.iter().all(|host| !host.is_paused && host.awaited.is_empty());
        let grantors =
            self.grantors.iter().all(|host| !host.is_paused && host.grantor.waiting() == 0);
        self.messages.is_empty() && hosts && grantors
    }

    fn host_steps(&self, host: usize, steps: &mut Steps<Self>) {
        let name = host_name(host);
        if self.hosts[host].is_paused {
            let mut next = self.clone();
            next.hosts[host].is_paused = false;
            steps.add(|| format!("{name} resumes"), next);
            return;
        }
        // Hosts are interchangeable until one has asked.
        let is_redundant = host > 0 && self.hosts.iter().all(|host| host.queries.is_empty());
        if self.options.requests > 0 && !is_redundant {
            let mut next = self.clone();
            next.options.requests -= 1;
            next.ask(host);
            steps.add(|| format!("{name} asks"), next);
        }
        for number in self.hosts[host].awaited.keys().filter(|_| self.options.leavers > 0) {
            let mut next = self.clone();
            next.options.leavers -= 1;
            next.abandon(host, *number);
            steps.add(|| format!("the caller of {number} at {name} leaves"), next);
        }
        if self.options.pauses > 0 && !self.hosts[host].awaited.is_empty() {
            let mut next = self.clone();
            next.options.pauses -= 1;
            next.hosts[host].is_paused = true;
            steps.add(|| format!("{name} is paused"), next);
        }
    }

    fn grantor_steps(&self, grantor: usize, steps: &mut Steps<Self>) {
        let name = grantor_name(grantor);
        let mut next = self.clone();
        if self.grantors[grantor].is_paused {
            next.grantors[grantor].is_paused = false;
            return steps.add(|| format!("{name} resumes"), next);
        }
        if self.options.pauses > 0 && self.holder == grantor {
            next.options.pauses -= 1;
            next.grantors[grantor].is_paused = true;
            steps.add(|| format!("{name} is paused"), next);
        }
    }

    fn message_steps(&self, entry: (Message, u8), steps: &mut Steps<Self>) {
        let message = entry.0;
        let mut arrived = self.clone();
        arrived.messages.remove(&entry);
        if self.options.losses > 0 {
            let mut next = arrived.clone();
            next.options.losses -= 1;
            steps.add(|| format!("lost: {message:?}"), next);
        }
        if self.is_paused(message) {
            return;
        }
        if self.options.doubles > 0 {
            let mut next = self.clone();
            next.options.doubles -= 1;
            next.deliver(message);
            steps.add(|| format!("arrives and will again: {message:?}"), next);
        }
        arrived.deliver(message);
        steps.add(|| format!("arrives: {message:?}"), arrived);
    }

    /// Returns what came in at a grantor while it held the lease, in requests.
    fn came_in(&self, grantor: &GrantorHost) -> u64 {
        let until = grantor.ended.unwrap_or(self.now);
        grantor.began.map_or(0, |began| until.since(began) / STEP_MS)
    }
}

fn grantor_host(options: Options) -> GrantorHost {
    let mut grantor = Grantor::with_queue(options.guards);
    let quota = QuotaOfOrganisation { unit: QuotaUnit::Requests, rate: RATE, burst: BURST };
    grantor.configure(START, HashMap::from([(organisation(), quota)]));
    GrantorHost { grantor, is_paused: false, began: None, ended: None, used: 0 }
}

impl State for Quota {
    fn successors(&self, steps: &mut Steps<Self>) {
        if self.now < START + self.options.time_steps * STEP_MS {
            let mut next = self.clone();
            next.pass_time();
            steps.add(|| "time passes".into(), next);
        }
        for entry in &self.messages {
            self.message_steps(*entry, steps);
        }
        for host in 0..HOSTS {
            self.host_steps(host, steps);
        }
        for grantor in 0..self.grantors.len() {
            self.grantor_steps(grantor, steps);
        }
        if self.options.takeovers > 0 {
            let mut next = self.clone();
            next.take_over();
            steps.add(|| format!("{} takes over", grantor_name(1)), next);
        }
    }

    fn normalize(&mut self) {
        let text = format!(
            "{:?}{:?}{:?}{:?}{:?}{:?}",
            self.options, self.now, self.hosts, self.grantors, self.holder, self.messages
        );
        self.fingerprint = hash128(text.as_bytes());
    }

    fn violation(&self) -> Option<String> {
        if let Some(host) = self.used_late {
            return Some(format!("{} used a grant after its time", host_name(host)));
        }
        for (index, grantor) in self.grantors.iter().enumerate() {
            let (used, came_in) = (grantor.used, self.came_in(grantor));
            if used > came_in {
                let name = grantor_name(index);
                return Some(format!("{used} grants of {name} were used, {came_in} came in"));
            }
        }
        let holder = &self.grantors[self.holder];
        let level = holder.grantor.level(self.now, &organisation())?;
        let expected = (self.came_in(holder) - holder.used) as f64;
        let is_wrong = self.is_quiescent() && (level - expected).abs() > f64::EPSILON;
        is_wrong.then(|| format!("nothing is under way, and {level} is left of {expected}"))
    }
}
