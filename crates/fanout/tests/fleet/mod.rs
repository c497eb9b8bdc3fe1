//! Simulates the source selection of a whole fleet, without sockets: status messages, subscriptions and the store's
//! answers.
// Not every test uses all of it.
#![allow(dead_code, missing_docs)]

use std::collections::{BTreeMap, BTreeSet};
use vanetally_fanout::{Action, Candidate, Event, Path, Reason, Source, SourceSelector};
use vanetally_types::{Name, Tick};

pub const DOMAINS: usize = 5;
/// Hosts per domain.
pub const HOSTS: usize = 60;
/// Hosts per domain with a high capacity.
pub const STRONG_HOSTS: usize = 3;
pub const START: u64 = 1_000_000;
pub const TICK_MS: u64 = 20;
pub const STATUS_INTERVAL_MS: u64 = 100;
/// Transit time of each message and each answer of the store.
pub const TRANSIT_MS: u64 = 2;
/// Time after which a subscriber that does not report is dropped.
pub const SUBSCRIBER_TIMEOUT_MS: u64 = 2_000;

/// One host: its source selection, and when the store last confirmed its data.
pub struct Host {
    pub selector: SourceSelector,
    pub confirmed: Option<u64>,
    /// Hosts that subscribed to this one, and when.
    pub subscribers: BTreeMap<Name, u64>,
    pub is_up: bool,
    pub reaches_store: bool,
}

pub enum Message {
    Status { age_ms: Option<u64>, path: Path },
    Subscribe,
    Sync { age_ms: Option<u64>, path: Path },
    Unsubscribe,
}

pub struct Fleet {
    pub now: u64,
    pub hosts: BTreeMap<Name, Host>,
    pub domains: BTreeMap<Name, Name>,
    /// Messages in transit: time of arrival, sender and receiver.
    pub messages: Vec<(u64, Name, Name, Message)>,
    /// Answers of the store in transit.
    pub answers: Vec<(u64, Name, Event)>,
    pub is_store_up: bool,
    /// Hosts whose keys the store lists.
    pub listed: BTreeSet<Name>,
    /// Maximum number of hosts of one domain that read the store at the same time, since the last reset.
    pub max_readers: usize,
    /// Number of switches to the store, each with a full read.
    pub full_reads: usize,
    /// Number of announcements by hosts that they read the store.
    pub announcements: usize,
    /// Number of probes of the store, answered or not.
    pub probes: usize,
    /// The host that starting hosts of each domain turn to first.
    entries: BTreeMap<Name, Name>,
    /// The entry points to which hosts have turned.
    tried: BTreeMap<Name, Name>,
    /// Hosts per domain with a high capacity.
    strong_hosts: usize,
    /// When each host sends its next status; empty if all hosts send one every [`STATUS_INTERVAL_MS`].
    next_status: BTreeMap<Name, u64>,
    /// Number of switches of the source, by reason, since the last reset.
    pub switches: BTreeMap<&'static str, usize>,
    /// Number of status messages that each host sent since the last reset.
    pub statuses: BTreeMap<Name, usize>,
}

impl Fleet {
    pub fn new() -> Self {
        Self::with_hosts(HOSTS, STRONG_HOSTS)
    }

    /// Returns a fleet whose hosts send their status at the interval that they compute from their receivers.
    pub fn large(hosts: usize, strong_hosts: usize) -> Self {
        let mut fleet = Self::with_hosts(hosts, strong_hosts);
        // Hosts are not synchronized.
        let spread = |(number, host): (usize, &Name)| (host.clone(), START + number as u64 % 100);
        fleet.next_status = fleet.hosts.keys().enumerate().map(spread).collect();
        fleet
    }

    /// Returns a large fleet at the first start of the deployment: no host is listed yet.
    pub fn first_start(hosts: usize, strong_hosts: usize) -> Self {
        let mut fleet = Self::large(hosts, strong_hosts);
        fleet.listed.clear();
        for (name, host) in &mut fleet.hosts {
            let domain = fleet.domains[name].clone();
            host.selector = SourceSelector::new(Tick(START), name.clone(), domain, true);
        }
        fleet
    }

    fn with_hosts(hosts: usize, strong_hosts: usize) -> Self {
        let mut fleet = Self {
            now: START,
            hosts: BTreeMap::new(),
            domains: BTreeMap::new(),
            messages: Vec::new(),
            answers: Vec::new(),
            is_store_up: true,
            listed: BTreeSet::new(),
            max_readers: 0,
            full_reads: 0,
            announcements: 0,
            probes: 0,
            entries: BTreeMap::new(),
            tried: BTreeMap::new(),
            strong_hosts,
            next_status: BTreeMap::new(),
            switches: BTreeMap::new(),
            statuses: BTreeMap::new(),
        };
        for number in 0..DOMAINS * hosts {
            let (host, domain): (Name, Name) =
                (format!("h{number}").into(), format!("z{}", number % DOMAINS).into());
            let selector = SourceSelector::new(Tick(START), host.clone(), domain.clone(), false);
            fleet.listed.insert(host.clone());
            fleet.domains.insert(host.clone(), domain);
            let one = Host {
                selector,
                confirmed: None,
                subscribers: BTreeMap::new(),
                is_up: true,
                reaches_store: true,
            };
            fleet.hosts.insert(host, one);
        }
        fleet
    }

    pub fn candidates(&self) -> Vec<Candidate> {
        let candidates = self.listed.iter().map(|host| Candidate {
            host: host.clone(),
            domain: self.domains[host].clone(),
            capacity: self.capacity(host),
        });
        candidates.collect()
    }

    fn capacity(&self, host: &Name) -> u32 {
        let number: usize = host[1..].parse().unwrap();
        if number / DOMAINS < self.strong_hosts { 50 } else { 12 }
    }

    /// Whether `host` sends its status in this step.
    fn is_status_due(&mut self, host: &Name) -> bool {
        let capacity = self.capacity(host);
        let Some(next) = self.next_status.get_mut(host) else {
            return (self.now / TICK_MS).is_multiple_of(STATUS_INTERVAL_MS / TICK_MS);
        };
        if self.now < *next {
            return false;
        }
        *next = self.now + self.hosts[host].selector.interval_ms(capacity);
        true
    }

    fn count_switch(&mut self, reason: Reason) {
        *self.switches.entry(reason.as_str()).or_default() += 1;
    }

    pub fn notify_all(&mut self, event: impl Fn() -> Event) {
        let hosts: Vec<Name> = self.hosts.keys().cloned().collect();
        hosts.iter().for_each(|host| self.notify(host, event()));
    }

    /// Passes an event to `host` and executes the resulting actions.
    pub fn notify(&mut self, host: &Name, event: Event) {
        let Some(one) = self.hosts.get_mut(host).filter(|one| one.is_up) else {
            return;
        };
        let actions = one.selector.handle(Tick(self.now), event);
        actions.into_iter().for_each(|action| self.execute(host, action));
    }

    pub fn execute(&mut self, host: &Name, action: Action) {
        let send = |to: Name, message| (self.now + TRANSIT_MS, host.clone(), to, message);
        match action {
            Action::Subscribe(to) => self.messages.push(send(to, Message::Subscribe)),
            Action::Unsubscribe(to) => self.messages.push(send(to, Message::Unsubscribe)),
            Action::FindSource if self.can_read(host) => {
                let answer = self.find_source(host);
                self.answers.push((self.now + TRANSIT_MS, host.clone(), answer));
            }
            Action::Probe => {
                self.probes += 1;
                let answer = Event::Probed(self.can_read(host));
                self.answers.push((self.now + TRANSIT_MS, host.clone(), answer));
            }
            Action::Announce => {
                let (age_ms, path) = (self.age_ms(host), self.path(host));
                let others = self.hosts.keys().filter(|other| *other != host);
                let statuses: Vec<_> = others
                    .map(|to| send(to.clone(), Message::Status { age_ms, path: path.clone() }))
                    .collect();
                self.announcements += 1;
                self.messages.extend(statuses);
            }
            Action::Switch { to, reason } => {
                self.full_reads += usize::from(to == Source::Store);
                self.count_switch(reason);
            }
            Action::FindSource => {}
        }
    }

    /// Returns what a starting host finds: the entry point of its domain, which may be itself.
    fn find_source(&mut self, host: &Name) -> Event {
        let domain = self.domains[host].clone();
        let entry = self.entries.entry(domain.clone()).or_insert_with(|| host.clone()).clone();
        let tried = self.tried.insert(host.clone(), entry.clone());
        if entry != *host && tried.as_ref() != Some(&entry) {
            return Event::EntryFound(entry);
        }
        self.entries.insert(domain, host.clone());
        Event::EntryClaimed
    }

    /// Starts all hosts but `dead` again at once, without data. The store still lists all of them.
    pub fn restart_all(&mut self, dead: &Name) {
        self.tried.clear();
        self.messages.clear();
        self.answers.clear();
        for (name, host) in &mut self.hosts {
            let domain = self.domains[name].clone();
            host.selector = SourceSelector::new(Tick(self.now), name.clone(), domain, false);
            host.confirmed = None;
            host.subscribers.clear();
            host.is_up = name != dead;
        }
    }

    /// Returns the host that starting hosts of `domain` turn to first.
    pub fn entry(&self, domain: &str) -> &Name {
        &self.entries[domain]
    }

    /// Lists more hosts in the store. Hosts that receive its data learn of them.
    pub fn list(&mut self, hosts: &[Name]) {
        self.listed.extend(hosts.iter().cloned());
        let informed = self.hosts.iter().filter(|(_, host)| host.confirmed.is_some());
        let informed: Vec<Name> = informed.map(|(name, _)| name.clone()).collect();
        let candidates = self.candidates();
        informed.iter().for_each(|name| self.notify(name, Event::Candidates(candidates.clone())));
    }

    pub fn can_read(&self, host: &Name) -> bool {
        self.is_store_up && self.hosts[host].reaches_store
    }

    pub fn deliver(&mut self) {
        let now = self.now;
        let (due, later) =
            std::mem::take(&mut self.messages).into_iter().partition(|(at, ..)| *at <= now);
        self.messages = later;
        for (_, from, to, message) in due {
            if self.hosts[&to].is_up && self.hosts[&from].is_up {
                self.receive(&from, &to, message);
            }
        }
        let (due, later) =
            std::mem::take(&mut self.answers).into_iter().partition(|(at, ..)| *at <= now);
        self.answers = later;
        let due: Vec<(u64, Name, Event)> = due;
        due.into_iter().for_each(|(_, host, event)| self.notify(&host, event));
    }

    pub fn receive(&mut self, from: &Name, to: &Name, message: Message) {
        let now = self.now;
        match message {
            Message::Status { age_ms, path } => {
                self.notify(to, Event::Path { from: from.clone(), path });
                self.update_age(from, to, age_ms);
                let from = from.clone();
                self.notify(to, Event::Status { from, age_ms, is_leaving: false });
            }
            Message::Sync { age_ms, path } => {
                self.notify(to, Event::Candidates(self.candidates()));
                self.notify(to, Event::Path { from: from.clone(), path });
                self.notify(to, Event::Synced { from: from.clone(), age_ms });
                self.update_age(from, to, age_ms);
            }
            Message::Subscribe => {
                let (age_ms, path) = (self.age_ms(to), self.path(to));
                let host = self.hosts.get_mut(to).unwrap();
                host.subscribers.insert(from.clone(), now);
                let subscribers = Event::Subscribers(host.subscribers.keys().cloned().collect());
                self.notify(to, subscribers);
                let mut answer = |message| {
                    self.messages.push((now + TRANSIT_MS, to.clone(), from.clone(), message))
                };
                answer(Message::Status { age_ms, path: path.clone() });
                if age_ms.is_some() {
                    answer(Message::Sync { age_ms, path });
                }
            }
            Message::Unsubscribe => {
                let host = self.hosts.get_mut(to).unwrap();
                host.subscribers.remove(from);
                let subscribers = Event::Subscribers(host.subscribers.keys().cloned().collect());
                self.notify(to, subscribers);
            }
        }
    }

    /// Updates what `to` knows if `from` is its source.
    pub fn update_age(&mut self, from: &Name, to: &Name, age_ms: Option<u64>) {
        let now = self.now;
        let host = self.hosts.get_mut(to).unwrap();
        if host.selector.source() == Source::Host(from.clone()) {
            let confirmed = host.confirmed.max(age_ms.map(|age| now - age));
            self.confirm(to, confirmed);
        }
    }

    /// Records when the store confirmed the data of `host`; the first time, sends the data to all subscribers.
    pub fn confirm(&mut self, host: &Name, confirmed: Option<u64>) {
        let one = self.hosts.get_mut(host).unwrap();
        let is_first = one.confirmed.is_none() && confirmed.is_some();
        one.confirmed = confirmed;
        if is_first {
            self.notify(host, Event::Candidates(self.candidates()));
            let one = &self.hosts[host];
            let age_ms = confirmed.map(|at| self.now - at);
            let path = one.selector.path();
            let message = || Message::Sync { age_ms, path: path.clone() };
            let sync = |to: &Name| (self.now + TRANSIT_MS, host.clone(), to.clone(), message());
            self.messages.extend(one.subscribers.keys().map(sync));
        }
    }

    pub fn age_ms(&self, host: &Name) -> Option<u64> {
        self.hosts[host].confirmed.map(|at| self.now - at)
    }

    /// Drops hosts that subscribed to `host` long ago and do not report to it; returns the others.
    pub fn drop_silent(&mut self, host: &Name) -> Vec<Name> {
        let source = Source::Host(host.clone());
        let reports =
            |one: &Name| self.hosts[one].is_up && self.hosts[one].selector.source() == source;
        let subscribers = &self.hosts[host].subscribers;
        let is_kept =
            |(one, at): &(&Name, &u64)| reports(one) || self.now - **at <= SUBSCRIBER_TIMEOUT_MS;
        let kept: BTreeMap<Name, u64> =
            subscribers.iter().filter(is_kept).map(|(one, at)| (one.clone(), *at)).collect();
        let names: Vec<Name> = kept.keys().cloned().collect();
        if kept.len() < subscribers.len() {
            self.hosts.get_mut(host).unwrap().subscribers = kept;
            self.notify(host, Event::Subscribers(names.iter().cloned().collect()));
        }
        names
    }

    pub fn path(&self, host: &Name) -> Path {
        self.hosts[host].selector.path()
    }

    pub fn step(&mut self) {
        self.now += TICK_MS;
        self.deliver();
        let hosts: Vec<Name> = self.hosts.keys().cloned().collect();
        for host in &hosts {
            if self.hosts[host].selector.source() == Source::Store {
                if self.can_read(host) {
                    self.confirm(host, Some(self.now));
                }
                let age_ms = self.age_ms(host);
                self.notify(host, Event::StoreConfirmed(age_ms));
            }
            self.notify(host, Event::Tick);
            if self.is_status_due(host) && self.hosts[host].is_up {
                let (age_ms, path) = (self.age_ms(host), self.path(host));
                for to in self.drop_silent(host) {
                    *self.statuses.entry(host.clone()).or_default() += 1;
                    let status = Message::Status { age_ms, path: path.clone() };
                    self.messages.push((self.now + TRANSIT_MS, host.clone(), to, status));
                }
            }
        }
        let mut readers: BTreeMap<&Name, usize> = BTreeMap::new();
        for (host, one) in &self.hosts {
            if one.is_up && one.selector.source() == Source::Store {
                *readers.entry(&self.domains[host]).or_default() += 1;
            }
        }
        self.max_readers = self.max_readers.max(readers.into_values().max().unwrap_or(0));
    }

    /// Runs for `millis`; returns the maximum age that the data of a host that can reach the store had meanwhile.
    pub fn run(&mut self, millis: u64) -> u64 {
        self.run_counting(millis, |one| one.reaches_store)
    }

    /// Runs for `millis`; returns the maximum age that the data of running hosts that pass `is_counted` had meanwhile.
    pub fn run_counting(&mut self, millis: u64, is_counted: impl Fn(&Host) -> bool) -> u64 {
        let mut max_age_ms = 0;
        for _ in 0..millis / TICK_MS {
            self.step();
            let counted = self.hosts.iter().filter(|(_, one)| one.is_up && is_counted(one));
            let ages = counted.map(|(host, _)| self.age_ms(host).unwrap_or(u64::MAX));
            max_age_ms = max_age_ms.max(ages.max().unwrap_or(0));
        }
        max_age_ms
    }

    /// Returns a fleet in which every host has found its source.
    pub fn settled() -> Self {
        let mut fleet = Self::new();
        fleet.run(3_000);
        assert!(fleet.run(100) < 500, "not all hosts are up to date");
        fleet.max_readers = 0;
        fleet.full_reads = 0;
        fleet
    }

    /// Returns the only host that reads the store.
    pub fn root(&self) -> Name {
        let is_reader = |one: &Host| one.is_up && one.selector.source() == Source::Store;
        let mut readers = self.hosts.iter().filter(|(_, one)| is_reader(one));
        let (root, _) = readers.next().unwrap();
        assert!(readers.next().is_none(), "more than one host reads the store");
        root.clone()
    }

    /// Returns the aggregator of a domain other than the root's.
    pub fn aggregator(&self) -> Name {
        let root = self.root();
        let reads_root = |one: &Host| one.selector.source() == Source::Host(root.clone());
        let is_other_domain = |host: &Name| self.domains[host] != self.domains[&root];
        self.hosts
            .iter()
            .find(|(host, one)| is_other_domain(host) && reads_root(one))
            .unwrap()
            .0
            .clone()
    }
}

/// Maximum number of hosts of a domain that may read the store at the same time: one in ten.
pub const MAX_READERS: usize = HOSTS / 10;
