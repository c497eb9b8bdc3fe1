//! Simulates the start of a deployment without sockets: processes, a store with limited rates, and links that a weak
//! host opens slowly.
// The fields of an outcome are printed where a test fails.
#![allow(dead_code, missing_docs)]

mod links;

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet, BinaryHeap},
};
use vanetally_fanout::{
    Action, Candidate, EntryEnd, EntryPoint, EntryResult, EntrySearch, EntryStep, Event, Path,
    Source, SourceSelector, StoreContact, entry_key,
};
use vanetally_ports::{Era, Revision};
use vanetally_types::{Name, Tick, hash64};

const START_MS: u64 = 1_000_000;
const TICK_MS: u64 = 20;
/// Period within which the processes of all hosts start.
const SPAWN_SPREAD_MS: u64 = 300;
/// One-way latency between hosts, and between a host and the store.
const TRANSIT_MS: u64 = 1;
const ANSWER_MS: u64 = 4;
const WRITES_PER_S: u64 = 1_200;
const READS_PER_S: u64 = 6_000;
/// Time in which a whole processor opens a link.
const LINK_US: u64 = 1_000;
const LEASE_MS: u64 = 6_000;
const WATCH_MS: u64 = 1_500;
const BATCH_MS: u64 = 300;
/// Time after which a host writes the entry key that has named it since before its start.
const REWRITE_MS: u64 = 1_000;
const CONTACT_MS: u64 = 3_000;
/// Calls in which a host reads the store: upstreams, hosts, evacuations, configuration.
const FEEDS: usize = 4;
const SUBSCRIBER_TIMEOUT_MS: u64 = 2_000;
/// Hosts per millisecond between two derivations of what follows from the list.
const HOSTS_PER_PAUSE_MS: usize = 10;

/// What a host of the simulation waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Call {
    Grant,
    WriteKey,
    ReadEntries,
    Claim(Revision),
    Rewrite(Revision),
    ListHosts,
    ReadFeed(usize),
    Watch,
    Probe,
}

impl Call {
    fn name(self) -> &'static str {
        match self {
            Self::Grant => "grant",
            Self::WriteKey => "host key",
            Self::ReadEntries => "read entry keys",
            Self::Claim(_) | Self::Rewrite(_) => "write entry key",
            Self::ListHosts => "list hosts",
            Self::ReadFeed(_) => "read all keys",
            Self::Watch => "watch",
            Self::Probe => "probe",
        }
    }

    fn is_write(self) -> bool {
        matches!(self, Self::Grant | Self::WriteKey | Self::Claim(_) | Self::Rewrite(_))
    }
}

#[derive(Clone, Debug)]
enum Message {
    Subscribe,
    Unsubscribe,
    Keep,
    Status { age_ms: Option<u64>, path: Path, is_configured: bool },
    Sync { age_ms: Option<u64>, path: Path, listed: usize },
    Changes { listed: usize },
    AskConfiguration,
    Configuration,
}

#[derive(Clone, Debug)]
enum Happening {
    Spawn,
    Tick,
    /// A pause of the search for an entry point is over, or the wait for the lease.
    Paused,
    LeaseTimeout,
    Rewrite(Revision),
    /// The store acts on a call and answers it.
    Call(Call, u64),
    Message(usize, Message),
}

struct Process {
    selector: SourceSelector,
    search: EntrySearch,
    /// The entry points last read.
    entries: Vec<EntryPoint>,
    contact: StoreContact,
    is_up: bool,
    /// Number of the process on this host; what an earlier one waits for is dropped.
    incarnation: u64,
    spawned: u64,
    has_lease: bool,
    is_searching: bool,
    awaits_lease: bool,
    is_watch_pending: bool,
    next_watch: u64,
    /// Number of listed hosts that this one knows, and that it has derived its order from.
    listed: Option<usize>,
    derived: Option<usize>,
    next_derive: u64,
    confirmed: Option<u64>,
    subscribers: BTreeMap<Name, u64>,
    links: BTreeSet<usize>,
    busy_until_us: u64,
    next_status: u64,
    is_configured: bool,
    has_asked: bool,
    sourced_ms: Option<u64>,
    configured_ms: Option<u64>,
    has_read: bool,
}

#[derive(Clone, Debug)]
struct Entry {
    host: usize,
    revision: Revision,
    expires: u64,
}

pub struct Start {
    now: u64,
    names: Vec<Name>,
    numbers: BTreeMap<Name, usize>,
    domains: Vec<Name>,
    hosts: Vec<Process>,
    queue: BinaryHeap<Reverse<(u64, u64, usize, u64)>>,
    happenings: BTreeMap<u64, Happening>,
    next: u64,
    revision: u64,
    entries: BTreeMap<(Name, u64), Entry>,
    listed: Vec<usize>,
    writes_free_us: u64,
    reads_free_us: u64,
    calls: BTreeMap<&'static str, usize>,
}

/// Times and costs of a start.
#[derive(Debug)]
pub struct Outcome {
    /// Calls to the store by kind, without renewals of leases.
    pub calls: BTreeMap<&'static str, usize>,
    pub calls_per_host: f64,
    /// Milliseconds from the start of a process until it knows its source: median and last.
    pub sourced_ms: (u64, u64),
    /// Milliseconds until it has the configuration.
    pub configured_ms: (u64, u64),
    /// Hosts that read the store at any time.
    pub readers: usize,
}

impl Start {
    /// Returns a deployment of which no host has started yet.
    pub fn new(hosts: usize, domains: usize) -> Self {
        let names: Vec<Name> = (0..hosts).map(|number| format!("front-{number}").into()).collect();
        let domains: Vec<Name> =
            (0..hosts).map(|number| format!("z{}", number % domains).into()).collect();
        let process = |name: &Name, domain: &Name| Process::new(START_MS, name, domain, true, 0);
        let processes = names.iter().zip(&domains).map(|(name, domain)| process(name, domain));
        Self {
            now: START_MS,
            hosts: processes.collect(),
            numbers: names
                .iter()
                .cloned()
                .enumerate()
                .map(|(number, name)| (name, number))
                .collect(),
            names,
            domains,
            queue: BinaryHeap::new(),
            happenings: BTreeMap::new(),
            next: 0,
            revision: 1,
            entries: BTreeMap::new(),
            listed: Vec::new(),
            writes_free_us: 0,
            reads_free_us: 0,
            calls: BTreeMap::new(),
        }
    }

    /// Starts all hosts for the first time and runs for `millis`.
    pub fn first(&mut self, millis: u64) -> Outcome {
        self.start_all(true, millis)
    }

    /// Ends all processes without notice, starts them again `off_ms` later and runs for `millis`.
    pub fn power_loss(&mut self, off_ms: u64, millis: u64) -> Outcome {
        self.now += off_ms;
        let now = self.now;
        self.entries.retain(|_, entry| entry.expires > now);
        if off_ms >= LEASE_MS {
            self.listed.clear();
        }
        self.start_all(false, millis)
    }

    fn start_all(&mut self, is_first: bool, millis: u64) -> Outcome {
        self.calls.clear();
        self.queue.clear();
        self.happenings.clear();
        for number in 0..self.hosts.len() {
            let delay = hash64(format!("spawn {number} {is_first}").as_bytes()) % SPAWN_SPREAD_MS;
            let spawned = self.now + delay;
            let incarnation = self.hosts[number].incarnation + 1;
            self.hosts[number] = Process::new(
                spawned,
                &self.names[number],
                &self.domains[number],
                is_first,
                incarnation,
            );
            self.at(spawned, number, Happening::Spawn);
        }
        let end = self.now + millis;
        while let Some(Reverse((at, id, number, incarnation))) = self.queue.pop() {
            if at > end {
                break;
            }
            self.now = at;
            let happening = self.happenings.remove(&id).unwrap();
            if self.hosts[number].incarnation == incarnation {
                self.handle(number, happening);
            }
        }
        self.now = end;
        self.outcome()
    }

    fn outcome(&self) -> Outcome {
        let spread = |time: fn(&Process) -> Option<u64>| {
            let mut times: Vec<u64> =
                self.hosts.iter().map(|host| time(host).unwrap_or(u64::MAX)).collect();
            times.sort_unstable();
            (times[times.len() / 2], *times.last().unwrap())
        };
        let calls: usize = self.calls.values().sum();
        Outcome {
            calls: self.calls.clone(),
            calls_per_host: calls as f64 / self.hosts.len() as f64,
            sourced_ms: spread(|host| host.sourced_ms),
            configured_ms: spread(|host| host.configured_ms),
            readers: self.hosts.iter().filter(|host| host.has_read).count(),
        }
    }

    fn at(&mut self, at: u64, number: usize, happening: Happening) {
        let id = self.next;
        self.next += 1;
        self.queue.push(Reverse((at, id, number, self.hosts[number].incarnation)));
        self.happenings.insert(id, happening);
    }

    fn capacity(number: usize) -> u32 {
        if number.is_multiple_of(20) { 50 } else { 12 }
    }

    fn candidates(&self, count: usize) -> Vec<Candidate> {
        let listed = self.listed[..count.min(self.listed.len())].iter();
        let candidates = listed.map(|number| Candidate {
            host: self.names[*number].clone(),
            domain: self.domains[*number].clone(),
            capacity: Self::capacity(*number),
        });
        candidates.collect()
    }

    fn handle(&mut self, number: usize, happening: Happening) {
        match happening {
            Happening::Spawn => {
                self.hosts[number].is_up = true;
                self.call(number, Call::Grant);
                self.at(self.now, number, Happening::Tick);
            }
            Happening::Tick => self.tick(number),
            Happening::Paused => self.search(number, EntryResult::Paused),
            Happening::LeaseTimeout if self.hosts[number].awaits_lease => {
                self.hosts[number].awaits_lease = false;
                self.search(number, EntryResult::LeaseAwaited(false));
            }
            Happening::LeaseTimeout => {}
            Happening::Rewrite(revision) => self.call(number, Call::Rewrite(revision)),
            Happening::Call(call, sent) => self.answered(number, call, sent),
            Happening::Message(from, message) => self.receive(number, from, message),
        }
    }

    /// Sends a call to the store, which answers in the order of arrival at its rates.
    fn call(&mut self, number: usize, call: Call) {
        *self.calls.entry(call.name()).or_default() += 1;
        let arrives_us = (self.now + TRANSIT_MS) * 1_000;
        let (free_us, rate) = match call.is_write() {
            true => (&mut self.writes_free_us, WRITES_PER_S),
            false => (&mut self.reads_free_us, READS_PER_S),
        };
        *free_us = arrives_us.max(*free_us) + 1_000_000 / rate;
        let at = *free_us / 1_000 + ANSWER_MS + TRANSIT_MS;
        self.at(at, number, Happening::Call(call, self.now));
    }

    fn answered(&mut self, number: usize, call: Call, sent: u64) {
        self.hosts[number].contact.record_answer(Tick(sent), Tick(self.now));
        match call {
            Call::Grant => self.call(number, Call::WriteKey),
            Call::WriteKey => {
                self.hosts[number].has_lease = true;
                if !self.listed.contains(&number) {
                    self.listed.push(number);
                }
                if std::mem::take(&mut self.hosts[number].awaits_lease) {
                    self.search(number, EntryResult::LeaseAwaited(true));
                }
            }
            Call::ReadEntries => {
                let entries = self.read_entries();
                self.hosts[number].entries.clone_from(&entries);
                self.search(number, EntryResult::Read(Some(&entries)));
            }
            Call::Claim(expected) => {
                let is_written = self.write_entry(number, expected);
                self.search(number, EntryResult::Written(is_written));
            }
            Call::Rewrite(expected) => {
                self.write_entry(number, expected);
            }
            Call::ListHosts => {
                self.hosts[number].listed = Some(self.listed.len());
                self.hosts[number].is_searching = false;
            }
            Call::ReadFeed(feed) => self.feed_read(number, feed),
            Call::Watch => {}
            Call::Probe => self.notify(number, Event::Probed(true)),
        }
    }

    fn read_entries(&self) -> Vec<EntryPoint> {
        let live = self.entries.iter().filter(|(_, entry)| entry.expires > self.now);
        let entries = live.map(|((domain, number), entry)| EntryPoint {
            domain: domain.clone(),
            number: *number,
            host: Some(self.names[entry.host].clone()),
            revision: entry.revision,
        });
        entries.collect()
    }

    fn write_entry(&mut self, number: usize, expected: Revision) -> bool {
        let key = (self.domains[number].clone(), entry_key(&self.names[number]));
        let now = self.now;
        let known = self.entries.get(&key).filter(|entry| entry.expires > now);
        if known.map(|entry| entry.revision).unwrap_or_default() != expected {
            return false;
        }
        self.revision += 1;
        let revision = Revision::new(Era(1), self.revision);
        self.entries.insert(key, Entry { host: number, revision, expires: now + LEASE_MS });
        true
    }

    /// Passes a result to the search for an entry point and carries out the next step.
    fn search(&mut self, number: usize, result: EntryResult<'_>) {
        let step = self.hosts[number].search.next(result);
        self.step(number, step);
    }

    fn step(&mut self, number: usize, step: EntryStep) {
        match step {
            EntryStep::AwaitLease(_) if self.hosts[number].has_lease => {
                self.search(number, EntryResult::LeaseAwaited(true));
            }
            EntryStep::AwaitLease(max_ms) => {
                self.hosts[number].awaits_lease = true;
                self.at(self.now + max_ms, number, Happening::LeaseTimeout);
            }
            EntryStep::Pause(ms) => self.at(self.now + ms, number, Happening::Paused),
            EntryStep::Read => self.call(number, Call::ReadEntries),
            EntryStep::Claim(_) if !self.hosts[number].has_lease => {
                self.search(number, EntryResult::Written(false));
            }
            EntryStep::Claim(revision) => self.call(number, Call::Claim(revision)),
            EntryStep::End(EntryEnd::ListHosts) => self.call(number, Call::ListHosts),
            EntryStep::End(end) => {
                self.hosts[number].is_searching = false;
                match end {
                    EntryEnd::Found(at) | EntryEnd::Claimed(Some(at)) => {
                        let host = self.hosts[number].entries[at].host.clone().unwrap();
                        self.notify(number, Event::EntryFound(host));
                    }
                    EntryEnd::Claimed(None) => self.notify(number, Event::EntryClaimed),
                    EntryEnd::Named(revision, source) => {
                        self.at(self.now + REWRITE_MS, number, Happening::Rewrite(revision));
                        self.step(number, EntryStep::End(EntryEnd::Claimed(source)));
                    }
                    EntryEnd::Failed | EntryEnd::ListHosts => {}
                }
            }
        }
    }
}

impl Process {
    fn new(spawned: u64, name: &Name, domain: &Name, is_first: bool, incarnation: u64) -> Self {
        Self {
            selector: SourceSelector::new(Tick(spawned), name.clone(), domain.clone(), is_first),
            search: EntrySearch::new(name.clone(), domain.clone(), is_first),
            entries: Vec::new(),
            contact: StoreContact::new(CONTACT_MS),
            is_up: false,
            incarnation,
            spawned,
            has_lease: false,
            is_searching: false,
            awaits_lease: false,
            is_watch_pending: false,
            next_watch: 0,
            listed: None,
            derived: None,
            next_derive: 0,
            confirmed: None,
            subscribers: BTreeMap::new(),
            links: BTreeSet::new(),
            busy_until_us: 0,
            next_status: spawned,
            is_configured: false,
            has_asked: false,
            sourced_ms: None,
            configured_ms: None,
            has_read: false,
        }
    }
}
