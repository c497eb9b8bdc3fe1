//! A whole fleet of choices of a source, without sockets: words, subscriptions and the store's answers between them.
// Not every test uses all of it.
#![allow(dead_code, missing_docs)]

use std::collections::{BTreeMap, BTreeSet};
use vanetally_fanout::{Action, Candidate, Event, Path, Source, SourceSelector};
use vanetally_types::{Name, Tick};

pub const DOMAINS: usize = 5;
pub const HOSTS: usize = 60;
pub const STRONG: usize = 3;
pub const START: u64 = 1_000_000;
pub const TICK_MS: u64 = 20;
pub const WORD_MS: u64 = 100;
pub const WAY_MS: u64 = 2;
/// Whoever does not report is heard no more after this long.
pub const SUBSCRIBER_MS: u64 = 2_000;

/// One host: its choice of a source, and when the store last confirmed what it knows.
pub struct Host {
    pub follow: SourceSelector,
    pub confirmed: Option<u64>,
    /// Hosts that asked to hear from this one, and when.
    pub subscribers: BTreeMap<Name, u64>,
    pub is_up: bool,
    pub reaches_store: bool,
}

pub enum Message {
    Word { age_ms: Option<u64>, path: Path },
    Subscribe,
    Sync { age_ms: Option<u64>, path: Path },
    Unsubscribe,
}

pub struct Fleet {
    pub now: u64,
    pub hosts: BTreeMap<Name, Host>,
    pub domains: BTreeMap<Name, Name>,
    pub mail: Vec<(u64, Name, Name, Message)>,
    pub answers: Vec<(u64, Name, Event)>,
    pub is_store_up: bool,
    /// Hosts whose keys the store lists.
    pub listed: BTreeSet<Name>,
    /// Most hosts of one domain that read the store at one moment, since the last reset.
    pub most_readers: usize,
    /// Readings begun.
    pub readings: usize,
    /// Hosts that told all others that they read the store.
    pub announced: usize,
    /// Probes of the store, answered or not.
    pub probes: usize,
}

impl Fleet {
    pub fn new() -> Self {
        let mut fleet = Self {
            now: START,
            hosts: BTreeMap::new(),
            domains: BTreeMap::new(),
            mail: Vec::new(),
            answers: Vec::new(),
            is_store_up: true,
            listed: BTreeSet::new(),
            most_readers: 0,
            readings: 0,
            announced: 0,
            probes: 0,
        };
        for number in 0..DOMAINS * HOSTS {
            let (host, domain): (Name, Name) =
                (format!("h{number}").into(), format!("z{}", number % DOMAINS).into());
            let follow = SourceSelector::new(Tick(START), host.clone(), domain.clone(), false);
            fleet.listed.insert(host.clone());
            fleet.domains.insert(host.clone(), domain);
            let one = Host {
                follow,
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
        let candidates = self.listed.iter().map(|host| {
            let number: usize = host[1..].parse().unwrap();
            let capacity = if number / DOMAINS < STRONG { 50 } else { 12 };
            Candidate { host: host.clone(), domain: self.domains[host].clone(), capacity }
        });
        candidates.collect()
    }

    pub fn tell_all(&mut self, event: impl Fn() -> Event) {
        let hosts: Vec<Name> = self.hosts.keys().cloned().collect();
        hosts.iter().for_each(|host| self.tell(host, event()));
    }

    pub fn tell(&mut self, host: &Name, event: Event) {
        let Some(one) = self.hosts.get_mut(host).filter(|one| one.is_up) else {
            return;
        };
        let actions = one.follow.handle(Tick(self.now), event);
        actions.into_iter().for_each(|action| self.act(host, action));
    }

    pub fn act(&mut self, host: &Name, action: Action) {
        let send = |to: Name, message| (self.now + WAY_MS, host.clone(), to, message);
        match action {
            Action::Subscribe(to) => self.mail.push(send(to, Message::Subscribe)),
            Action::Unsubscribe(to) => self.mail.push(send(to, Message::Unsubscribe)),
            Action::ListHosts if self.can_read(host) => {
                let listed = Event::Candidates(self.candidates());
                self.answers.push((self.now + WAY_MS, host.clone(), listed));
            }
            Action::Probe => {
                self.probes += 1;
                let answer = Event::Probed(self.can_read(host));
                self.answers.push((self.now + WAY_MS, host.clone(), answer));
            }
            Action::Announce => {
                let (age_ms, path) = (self.age_ms(host), self.path(host));
                let others = self.hosts.keys().filter(|other| *other != host);
                let words: Vec<_> = others
                    .map(|to| send(to.clone(), Message::Word { age_ms, path: path.clone() }))
                    .collect();
                self.announced += 1;
                self.mail.extend(words);
            }
            Action::Switch { to: Source::Store, .. } => self.readings += 1,
            Action::ListHosts | Action::Switch { .. } => {}
        }
    }

    pub fn can_read(&self, host: &Name) -> bool {
        self.is_store_up && self.hosts[host].reaches_store
    }

    pub fn deliver(&mut self) {
        let now = self.now;
        let (due, later) =
            std::mem::take(&mut self.mail).into_iter().partition(|(at, ..)| *at <= now);
        self.mail = later;
        for (_, from, to, message) in due {
            if self.hosts[&to].is_up && self.hosts[&from].is_up {
                self.take(&from, &to, message);
            }
        }
        let (due, later) =
            std::mem::take(&mut self.answers).into_iter().partition(|(at, ..)| *at <= now);
        self.answers = later;
        let due: Vec<(u64, Name, Event)> = due;
        due.into_iter().for_each(|(_, host, event)| self.tell(&host, event));
    }

    pub fn take(&mut self, from: &Name, to: &Name, message: Message) {
        let now = self.now;
        match message {
            Message::Word { age_ms, path } => {
                self.tell(to, Event::Path { from: from.clone(), path });
                self.hear(from, to, age_ms);
                let from = from.clone();
                self.tell(to, Event::Status { from, age_ms, is_leaving: false });
            }
            Message::Sync { age_ms, path } => {
                self.tell(to, Event::Path { from: from.clone(), path });
                self.tell(to, Event::Synced { from: from.clone(), age_ms });
                self.hear(from, to, age_ms);
            }
            Message::Subscribe => {
                let (age_ms, path) = (self.age_ms(to), self.path(to));
                let host = self.hosts.get_mut(to).unwrap();
                host.subscribers.insert(from.clone(), now);
                let subscribers = Event::Subscribers(host.subscribers.keys().cloned().collect());
                self.tell(to, subscribers);
                let mut answer =
                    |message| self.mail.push((now + WAY_MS, to.clone(), from.clone(), message));
                answer(Message::Word { age_ms, path: path.clone() });
                if age_ms.is_some() {
                    answer(Message::Sync { age_ms, path });
                }
            }
            Message::Unsubscribe => {
                let host = self.hosts.get_mut(to).unwrap();
                host.subscribers.remove(from);
                let subscribers = Event::Subscribers(host.subscribers.keys().cloned().collect());
                self.tell(to, subscribers);
            }
        }
    }

    pub fn hear(&mut self, from: &Name, to: &Name, age_ms: Option<u64>) {
        let now = self.now;
        let host = self.hosts.get_mut(to).unwrap();
        if host.follow.source() == Source::Host(from.clone()) {
            let confirmed = host.confirmed.max(age_ms.map(|age| now - age));
            self.confirm(to, confirmed);
        }
    }

    /// What lies in the store was confirmed; for the first time, all that hear from the host get it.
    pub fn confirm(&mut self, host: &Name, confirmed: Option<u64>) {
        let one = self.hosts.get_mut(host).unwrap();
        let is_first = one.confirmed.is_none() && confirmed.is_some();
        one.confirmed = confirmed;
        if is_first {
            let age_ms = confirmed.map(|at| self.now - at);
            let path = one.follow.path();
            let message = || Message::Sync { age_ms, path: path.clone() };
            let sync = |to: &Name| (self.now + WAY_MS, host.clone(), to.clone(), message());
            self.mail.extend(one.subscribers.keys().map(sync));
        }
    }

    pub fn age_ms(&self, host: &Name) -> Option<u64> {
        self.hosts[host].confirmed.map(|at| self.now - at)
    }

    /// Forgets hosts that asked to hear from `host` long ago and do not report to it; gives back the others.
    pub fn forget_silent(&mut self, host: &Name) -> Vec<Name> {
        let source = Source::Host(host.clone());
        let reports =
            |one: &Name| self.hosts[one].is_up && self.hosts[one].follow.source() == source;
        let asked = &self.hosts[host].subscribers;
        let stays = |(one, at): &(&Name, &u64)| reports(one) || self.now - **at <= SUBSCRIBER_MS;
        let stay: BTreeMap<Name, u64> =
            asked.iter().filter(stays).map(|(one, at)| (one.clone(), *at)).collect();
        let names: Vec<Name> = stay.keys().cloned().collect();
        if stay.len() < asked.len() {
            self.hosts.get_mut(host).unwrap().subscribers = stay;
            self.tell(host, Event::Subscribers(names.iter().cloned().collect()));
        }
        names
    }

    pub fn path(&self, host: &Name) -> Path {
        self.hosts[host].follow.path()
    }

    pub fn step(&mut self) {
        self.now += TICK_MS;
        self.deliver();
        let hosts: Vec<Name> = self.hosts.keys().cloned().collect();
        for host in &hosts {
            if self.hosts[host].follow.source() == Source::Store {
                if self.can_read(host) {
                    self.confirm(host, Some(self.now));
                }
                let age_ms = self.age_ms(host);
                self.tell(host, Event::StoreConfirmed(age_ms));
            }
            self.tell(host, Event::Tick);
            if (self.now / TICK_MS).is_multiple_of(WORD_MS / TICK_MS) && self.hosts[host].is_up {
                let (age_ms, path) = (self.age_ms(host), self.path(host));
                for to in self.forget_silent(host) {
                    let word = Message::Word { age_ms, path: path.clone() };
                    self.mail.push((self.now + WAY_MS, host.clone(), to, word));
                }
            }
        }
        let mut readers: BTreeMap<&Name, usize> = BTreeMap::new();
        for (host, one) in &self.hosts {
            if one.is_up && one.follow.source() == Source::Store {
                *readers.entry(&self.domains[host]).or_default() += 1;
            }
        }
        self.most_readers = self.most_readers.max(readers.into_values().max().unwrap_or(0));
    }

    /// Plays so long; gives back the highest age of what a host knew meanwhile that can reach the store.
    pub fn play(&mut self, millis: u64) -> u64 {
        self.play_for(millis, |one| one.reaches_store)
    }

    /// The same, of the hosts that `is_bound` and that run.
    pub fn play_for(&mut self, millis: u64, is_bound: impl Fn(&Host) -> bool) -> u64 {
        let mut oldest = 0;
        for _ in 0..millis / TICK_MS {
            self.step();
            let bound = self.hosts.iter().filter(|(_, one)| one.is_up && is_bound(one));
            let ages = bound.map(|(host, _)| self.age_ms(host).unwrap_or(u64::MAX));
            oldest = oldest.max(ages.max().unwrap_or(0));
        }
        oldest
    }

    /// A fleet in which every host has found its source.
    pub fn settled() -> Self {
        let mut fleet = Self::new();
        fleet.play(3_000);
        assert!(fleet.play(100) < 500, "all know what is new");
        fleet.most_readers = 0;
        fleet.readings = 0;
        fleet
    }

    pub fn root(&self) -> Name {
        let is_reader = |one: &Host| one.is_up && one.follow.source() == Source::Store;
        let mut readers = self.hosts.iter().filter(|(_, one)| is_reader(one));
        let (root, _) = readers.next().unwrap();
        assert!(readers.next().is_none(), "one reads for all");
        root.clone()
    }

    /// The aggregator of a domain that is not the root's.
    pub fn aggregator(&self) -> Name {
        let root = self.root();
        let hears_root = |one: &Host| one.follow.source() == Source::Host(root.clone());
        let far = |host: &Name| self.domains[host] != self.domains[&root];
        self.hosts.iter().find(|(host, one)| far(host) && hears_root(one)).unwrap().0.clone()
    }
}

/// Hosts of a domain that may read the store at one moment: one in ten.
pub const MOST_READERS: usize = HOSTS / 10;
