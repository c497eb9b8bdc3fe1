//! Keeps where streams began at a few hosts, and asks them when a caller takes a stream up.

use crate::{
    capabilities::Capabilities, host_entry::HostEntry, hub::Hub, odd_entries::Escaped,
    peers::PeerMessage, telemetry, watch::jittered,
};
use serde::{Deserialize, Serialize};
use std::{
    collections::{BTreeSet, HashMap},
    pin::pin,
    rc::Rc,
    time::Duration,
};
use tokio::{sync::mpsc, time::sleep};
use vanetally_dispatch::{Event, RequestId, StreamBegun};
use vanetally_ports::{
    CallerRequest, Expectation, Item, Refusal, RefusalCause, Revision, Software, StoreAnswer,
    Transaction, Write,
};
use vanetally_streams::{
    Answer, Beginnings, Finding, FoundBy, KnownVersions, Lookup, Record, StreamKey, Unknown,
    Versions, keepers,
};
use vanetally_types::{Name, Tick, hash64, rendezvous_rank};

/// Hosts that keep the beginning of a stream, besides the one that passed its first event on.
const KEEPERS: usize = 3;
/// Hosts that are asked for it. More than keep it, since the hosts that ask and tell may know different ones.
const ASKED: usize = 2 * KEEPERS;
/// Time in which they must answer.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(250);
/// Time after the end of a stream's answer within which its caller may take it up.
const RETURN_MS: u64 = 60_000;
/// `Retry-After` while other hosts may still know where a stream began.
const UNKNOWN_RETRY_MS: u64 = 500;
/// Maximum number of streams that are looked for at the same time; beyond it they are unknown.
const MAX_LOOKUPS: usize = 512;
/// Prefix of the stored keys of versions, followed by the service.
pub(crate) const VERSIONS_PREFIX: &str = "vanetally/versions/";
/// Time from the start of a host before it writes versions, and more for each host: hosts that start together do not know
/// at once which of them writes.
const START_DELAY_MS: u64 = 500;
const START_DELAY_PER_HOST_MS: u64 = 2;
/// Time after which the next host in the order of the service writes what is still not in the store.
const TURN_MS: u64 = 400;
/// Number of hosts that write, so that a store that refuses writes gets few.
const MAX_WRITERS: u64 = 4;
/// Pause after a write.
const WRITE_PAUSE: Duration = Duration::from_millis(500);

/// Where a stream began, as told to another host.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Beginning {
    /// The stream, by a request that brought events of it.
    #[serde(rename = "k")]
    key: StreamKey,
    #[serde(rename = "s")]
    service: Name,
    #[serde(rename = "v")]
    version: Name,
    #[serde(rename = "t")]
    kept_ms: u64,
}

/// This host's knowledge of streams.
pub(crate) struct Streams {
    beginnings: Beginnings,
    versions: KnownVersions,
    lookups: HashMap<u64, mpsc::UnboundedSender<Answer>>,
    next_lookup: u64,
    /// When the process started.
    started: Tick,
    /// Since when the store lacks versions.
    unsaved_since: Option<Tick>,
    is_writing: bool,
}

impl Streams {
    /// Creates the state of a process that starts now. `first_lookup` differs between starts.
    pub(crate) fn new(started: Tick, first_lookup: u64) -> Self {
        Self {
            started,
            beginnings: Beginnings::default(),
            versions: KnownVersions::default(),
            lookups: HashMap::new(),
            next_lookup: first_lookup,
            unsaved_since: None,
            is_writing: false,
        }
    }
}

/// An open question to other hosts; dropping it ends it.
struct OpenLookup {
    hub: Rc<Hub>,
    number: u64,
    answers: mpsc::UnboundedReceiver<Answer>,
}

impl Drop for OpenLookup {
    fn drop(&mut self) {
        self.hub.streams.borrow_mut().lookups.remove(&self.number);
    }
}

impl Hub {
    /// Handles the first event of a stream that is passed on: its beginning is kept before its caller can know it.
    pub(crate) fn stream_begun(&self, id: RequestId) {
        let begun = self.dispatch.borrow_mut().stream_begun(id);
        let Some(StreamBegun { software, ids, timeout_ms }) = begun else {
            return;
        };
        let Software { service, version } = software;
        let kept_ms = timeout_ms + RETURN_MS;
        for id in ids.iter().filter(|id| !id.is_empty()) {
            let key = StreamKey::of(id);
            let (service, version) = (service.clone(), version.clone());
            let beginning = Beginning { key, service, version, kept_ms };
            let message = PeerMessage::KeepBeginning(beginning.clone());
            let sent = self.send_all(self.stream_keepers(key, KEEPERS).iter(), &message);
            telemetry::stream_begun(sent);
            self.keep_beginning(beginning);
        }
    }

    /// Keeps where a stream began.
    pub(crate) fn keep_beginning(&self, beginning: Beginning) {
        let Beginning { key, service, version, kept_ms } = beginning;
        let (now, software) = (self.clock.now(), Software { service, version });
        self.streams.borrow_mut().beginnings.record(now, key, &software, kept_ms);
    }

    /// Returns the first `count` other hosts that keep a stream.
    fn stream_keepers(&self, key: StreamKey, count: usize) -> Vec<Name> {
        let peers = self.peers.borrow();
        let keeps = |(host, entry): &(&Name, &HostEntry)| {
            **host != self.settings.host && entry.capabilities.includes(Capabilities::STREAMS)
        };
        let hosts = peers.iter().filter(keeps).map(|(host, entry)| (host, &entry.domain));
        keepers(key, hosts, count).into_iter().cloned().collect()
    }

    /// Finds the software that began the stream that a request takes up, if it takes one up.
    ///
    /// # Errors
    /// If that is unknown.
    pub(crate) async fn find_stream(
        self: &Rc<Self>,
        head: &mut CallerRequest,
    ) -> Result<(), Refusal> {
        let services = self.dispatch.borrow().stream_services(self.clock.now(), head);
        let Some(services) = services else {
            return Ok(());
        };
        let began = self.clock.now();
        let found = self.find_beginning(head, &services).await;
        let found_by = found.as_ref().map_or("unknown", |(_, found_by)| found_by.as_str());
        telemetry::stream_taken_up(found_by);
        log::info!(
            "event=stream_taken_up request={} resumes={:.64} after_event={:.64} software={} found={found_by} after_ms={}",
            head.id,
            head.resumes.as_deref().unwrap_or("-"),
            head.last_event.as_deref().unwrap_or("-"),
            found.as_ref().map_or("-", |(software, _)| &software.version),
            self.clock.now().since(began)
        );
        let (software, _) = found.map_err(|unknown| {
            let retry_ms = (unknown == Unknown::NotYet).then_some(UNKNOWN_RETRY_MS);
            Refusal::not_run(RefusalCause::StreamUnknown, retry_ms)
        })?;
        head.continues = Some(software);
        Ok(())
    }

    async fn find_beginning(
        self: &Rc<Self>,
        head: &CallerRequest,
        services: &[Name],
    ) -> Result<Finding, Unknown> {
        let service = if let [service] = services { Some(service.clone()) } else { None };
        let versions = service.as_ref().and_then(|service| self.known_versions(service));
        // Nobody keeps a stream that its caller does not name, but others may know of another version.
        let is_named = head.resumes.is_some();
        let key = StreamKey::of(head.resumes.as_ref().unwrap_or(&head.id));
        let own = self.streams.borrow().beginnings.get(self.clock.now(), key).cloned();
        if let Some(software) = own {
            return Ok((software, FoundBy::Own));
        }
        let asked = self.stream_keepers(key, ASKED);
        let mut lookup = Lookup::new(asked.len(), service.clone(), versions);
        let mut open = self.open_lookup().ok_or(Unknown::NotYet)?;
        let number = open.number;
        self.send_all(asked.iter(), &PeerMessage::AskBeginning { number, key, service });
        let mut expired = pin!(sleep(ANSWER_TIMEOUT));
        while lookup.is_open() && (is_named || !lookup.is_confirmed()) {
            tokio::select! {
                biased;
                Some(answer) = open.answers.recv() => {
                    if let Some(found) = lookup.answered(answer) {
                        return Ok(found);
                    }
                }
                () = &mut expired => break,
            }
        }
        let (software, found_by) = lookup.unanswered()?;
        // All that is known may be older than the stream.
        match self.stored_versions_now(&software.service).await {
            Some(Versions::One(only)) if only == software.version => Ok((software, found_by)),
            Some(_) => Err(Unknown::Lost),
            None => Err(Unknown::NotYet),
        }
    }

    fn open_lookup(self: &Rc<Self>) -> Option<OpenLookup> {
        let streams = &mut *self.streams.borrow_mut();
        if streams.lookups.len() >= MAX_LOOKUPS {
            return None;
        }
        let number = streams.next_lookup;
        streams.next_lookup = number.wrapping_add(1);
        let (sender, answers) = mpsc::unbounded_channel();
        streams.lookups.insert(number, sender);
        Some(OpenLookup { hub: self.clone(), number, answers })
    }

    fn known_versions(&self, service: &Name) -> Option<Versions> {
        self.streams.borrow().versions.known(service).cloned()
    }

    /// Answers another host that looks for the beginning of a stream.
    pub(crate) fn answer_beginning(
        &self,
        host: &Name,
        number: u64,
        key: StreamKey,
        service: Option<Name>,
    ) {
        let known = self.streams.borrow().beginnings.get(self.clock.now(), key).cloned();
        let answer = match known {
            Some(Software { service, version }) => Answer::Began(service, version),
            None => Answer::Unknown(service.and_then(|service| self.known_versions(&service))),
        };
        self.send(host, &PeerMessage::BeginningAnswered { number, answer });
    }

    /// Takes the answer of another host.
    pub(crate) fn beginning_answered(&self, number: u64, answer: Answer) {
        if let Some(lookup) = self.streams.borrow().lookups.get(&number) {
            // The question may have been decided.
            let _ = lookup.send(answer);
        }
    }

    /// Records the software version of an upstream.
    pub(crate) fn version_seen(self: &Rc<Self>, service: &Name, version: &Name) {
        let seen = Versions::One(version.clone());
        self.streams.borrow_mut().versions.add(service, seen);
    }

    /// Handles what the store keeps of the versions of a service; `None` if its key is gone.
    pub(crate) fn stored_versions_seen(self: &Rc<Self>, key: &str, item: Option<&Item>) {
        let Some(service) = key.strip_prefix(VERSIONS_PREFIX).map(Name::from) else {
            return;
        };
        self.read_versions(&service, item);
        self.tell_stored_versions(service);
    }

    fn read_versions(&self, service: &Name, item: Option<&Item>) {
        let read = item.map(|item| serde_json::from_slice::<Record>(&item.value)).transpose();
        let record = read.unwrap_or_else(|error| {
            if let Some(passed_over) = self.store.odd_entries().record("versions", "malformed") {
                let service = Escaped(service);
                log::error!(
                    "event=versions_unreadable service={service} error=\"{error:.120}\" passed_over={passed_over}"
                );
            }
            None
        });
        let versions = &mut self.streams.borrow_mut().versions;
        if let Some((record, item)) = record.as_ref().zip(item) {
            versions.add(service, record.versions_in(item.revision.era));
        }
        versions.set_stored(service, record.map(|record| record.versions));
    }

    /// Tells the dispatcher which versions of a service the store keeps.
    fn tell_stored_versions(self: &Rc<Self>, service: Name) {
        let versions = self.streams.borrow().versions.stored(&service).cloned();
        self.request_event(Event::VersionsStored { service, versions });
    }

    /// Handles all keys of the product, which were read again.
    pub(crate) fn stored_versions_read<'a>(self: &Rc<Self>, items: impl Iterator<Item = &'a Item>) {
        let mut changed: BTreeSet<Name> = {
            let versions = &mut self.streams.borrow_mut().versions;
            let before = versions.stored_services().cloned().collect();
            versions.clear_stored();
            before
        };
        for item in items {
            if let Some(service) = item.key.strip_prefix(VERSIONS_PREFIX).map(Name::from) {
                self.read_versions(&service, Some(item));
                changed.insert(service);
            }
        }
        changed.into_iter().for_each(|service| self.tell_stored_versions(service));
    }

    /// Removes beginnings that have expired, and has the store keep versions that it does not.
    pub(crate) fn tick_streams(self: &Rc<Self>) {
        {
            let beginnings = &mut self.streams.borrow_mut().beginnings;
            beginnings.expire(self.clock.now());
            telemetry::set_streams(beginnings.len());
        }
        if let Some(service) = self.service_to_write() {
            self.streams.borrow_mut().is_writing = true;
            self.start_writing(service);
        }
    }

    /// Returns a service whose versions this host must write now.
    fn service_to_write(&self) -> Option<Name> {
        let now = self.clock.now();
        let streams = &mut *self.streams.borrow_mut();
        let mut unsaved = streams.versions.unsaved_services().peekable();
        if unsaved.peek().is_none() {
            streams.unsaved_since = None;
            return None;
        }
        let since = *streams.unsaved_since.get_or_insert(now);
        let hosts = self.peers.borrow().len() as u64;
        let first = since.max(streams.started + START_DELAY_MS + hosts * START_DELAY_PER_HOST_MS);
        if streams.is_writing || now < first || !self.has_host_list.get() {
            return None;
        }
        let writers = (1 + now.since(first) / TURN_MS).min(MAX_WRITERS);
        unsaved.find(|service| self.writes_versions(service, writers as usize)).cloned()
    }

    fn start_writing(self: &Rc<Self>, service: Name) {
        let hub = self.clone();
        tokio::task::spawn_local(async move {
            if !hub.write_versions(&service).await {
                log::info!("event=versions_not_kept service={service}");
            }
            // The mirror tells soon that it was written.
            sleep(jittered(WRITE_PAUSE)).await;
            hub.streams.borrow_mut().is_writing = false;
        });
    }

    /// Whether this host is one of the first `writers` to write the versions of a service to the store.
    fn writes_versions(&self, service: &Name, writers: usize) -> bool {
        let is_configured = self
            .dispatch
            .borrow()
            .configuration()
            .is_some_and(|configuration| configuration.services.contains_key(service));
        let peers = self.peers.borrow();
        let own = &self.settings.host;
        let others = peers.iter().filter(|(host, entry)| {
            *host != own && entry.capabilities.includes(Capabilities::STREAMS)
        });
        let hosts = others.map(|(host, _)| host).chain([own]);
        let rank = rendezvous_rank(hash64(service.as_bytes()), hosts);
        is_configured && rank.into_iter().take(writers).any(|host| host == own)
    }

    /// Writes the versions of a service to the store; returns whether that succeeded.
    async fn write_versions(&self, service: &Name) -> bool {
        let versions = self.streams.borrow().versions.unsaved(service).cloned();
        let Some(versions) = versions else {
            return true;
        };
        let key: Name = format!("{VERSIONS_PREFIX}{service}").into();
        // A host that has seen less must not replace several versions by one.
        let revision = self.stored_revision(&key);
        let record = Record::new(versions, self.store.eras().newest(), revision.is_some());
        let Ok(value) = serde_json::to_vec(&record) else {
            return false;
        };
        let revision = revision.unwrap_or_default();
        let expect = vec![Expectation { key: key.clone(), revision }];
        let put = vec![Write { key, value: value.into(), lease: None }];
        let transaction = Transaction { expect, put, ..Transaction::default() };
        let is_done = matches!(self.store.transact(&transaction).await, Ok(StoreAnswer::Done(_)));
        if is_done {
            log::info!("event=versions_kept service={service} versions={:?}", record.versions);
        }
        is_done
    }

    fn stored_revision(&self, key: &Name) -> Option<Revision> {
        let feeds = self.feeds.borrow();
        feeds.iter().find_map(|feed| {
            let mirror = feed.mirror.borrow();
            let item = mirror.items().find(|item| item.key == *key)?;
            Some(item.revision)
        })
    }
}

/// Whether `key` is that of the versions of a service.
pub(crate) fn is_versions(key: &str) -> bool {
    key.starts_with(VERSIONS_PREFIX)
}
