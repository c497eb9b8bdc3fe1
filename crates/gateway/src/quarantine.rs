//! Contents that crash upstreams: keeping crash evidence, and sharing suspicions and quarantines with all hosts.

use crate::{
    capabilities::Capabilities,
    crashed::{CrashedContent, CrashedUpstream},
    hub::Hub,
    peers::PeerMessage,
    telemetry,
    watch::jittered,
};
use std::{
    collections::{BTreeSet, HashMap},
    rc::Rc,
    time::Duration,
};
use tokio::time::sleep;
use vanetally_dispatch::{self as dispatch, SuspectedContent};
use vanetally_quarantine::{ContentHash, CrashReport, CrashSign, Finding, Quarantine, Suspicion};
use vanetally_types::{Incarnation, Name, Tick, rendezvous_rank};

/// Number of hosts that keep the crash evidence on a content, so that the loss of one or two does not lose it.
pub(crate) const EVIDENCE_HOSTS: usize = 3;
/// Hosts that report an answer on the same content in a millisecond: the first one suffices.
const HOSTS_PER_MS: u64 = 4;

impl Hub {
    /// Reports a crash sign of an upstream to the hosts that keep the evidence on what it had under way.
    pub(crate) fn report_crash(
        self: &Rc<Self>,
        upstream: &Incarnation,
        sign: CrashSign,
        suspects: Vec<SuspectedContent>,
    ) {
        let now = self.clock.now();
        if self.dispatch.borrow().explains_crash(now, upstream) {
            return log::debug!(
                "event=crash_by_load upstream={upstream} contents={}",
                suspects.len()
            );
        }
        let mut by_host: HashMap<Name, Vec<CrashedContent>> = HashMap::new();
        for (content, is_common, sent_at) in merge(suspects) {
            let crashed = CrashedContent { content, is_common, sent_ms: now.since(sent_at) };
            for host in self.evidence_hosts(content) {
                by_host.entry(host).or_default().push(crashed);
            }
        }
        for (host, contents) in by_host {
            let crashed = CrashedUpstream { upstream: upstream.clone(), sign, contents };
            match host == self.settings.host {
                true => self.add_crash(&host, crashed),
                false => self.send(&host, &PeerMessage::Crashed(crashed)),
            }
        }
    }

    /// Returns the hosts that keep the evidence on a content, the first of which grants its tries.
    pub(crate) fn evidence_hosts(&self, content: ContentHash) -> Vec<Name> {
        let peers = self.peers.borrow();
        let own = &self.settings.host;
        let others = peers.iter().filter(|(host, entry)| {
            *host != own && entry.capabilities.includes(Capabilities::CONTENTS)
        });
        let hosts = others.map(|(host, _)| host).chain([own]);
        rendezvous_rank(content, hosts).into_iter().take(EVIDENCE_HOSTS).cloned().collect()
    }

    /// Adds a crash that `from` reports to the evidence, and announces what follows.
    pub(crate) fn add_crash(self: &Rc<Self>, from: &Name, crashed: CrashedUpstream) {
        let CrashedUpstream { upstream, sign, contents } = crashed;
        let now = self.clock.now();
        let mut suspicions = Vec::new();
        for CrashedContent { content, is_common, sent_ms } in contents {
            log::debug!(
                "event=content_reported content={content:016x} upstream={upstream} sign={} common={is_common} sent_ms={sent_ms} from={from}",
                sign.as_str()
            );
            let report =
                CrashReport { content, upstream: upstream.clone(), sign, is_common, sent_ms };
            let finding = self.evidence.borrow_mut().add(now, report);
            match finding {
                Some(Finding::Suspected(suspicion)) => suspicions.push(suspicion),
                Some(finding) => self.announce_finding(finding),
                None => {}
            }
        }
        if !suspicions.is_empty() {
            self.apply_suspicions(&self.settings.host.clone(), suspicions);
        }
    }

    /// Announces what became of the evidence over time.
    pub(crate) fn review_evidence(self: &Rc<Self>) {
        let findings = self.evidence.borrow_mut().tick(self.clock.now());
        findings.into_iter().for_each(|finding| self.announce_finding(finding));
    }

    fn announce_finding(self: &Rc<Self>, finding: Finding) {
        let own = self.settings.host.clone();
        match finding {
            Finding::Suspected(suspicion) => self.apply_suspicions(&own, vec![suspicion]),
            Finding::Released(content) => self.release(content),
            Finding::Quarantined(quarantine, crashed) => {
                let upstreams: Vec<String> = crashed.iter().map(ToString::to_string).collect();
                log::warn!(
                    "event=content_quarantined content={:016x} ended={} for_ms={} times={} age_ms={} upstreams={}",
                    quarantine.content,
                    quarantine.ended,
                    quarantine.for_ms,
                    quarantine.times,
                    quarantine.age_ms.unwrap_or(0),
                    upstreams.join(",")
                );
                telemetry::content_quarantined();
                self.apply_quarantines(&own, vec![quarantine]);
                if self.is_quarantined(quarantine.content) {
                    self.store_quarantine(quarantine);
                }
            }
        }
    }

    /// Applies suspicions, and forwards those that are news.
    pub(crate) fn apply_suspicions(self: &Rc<Self>, from: &Name, suspicions: Vec<Suspicion>) {
        let now = self.clock.now();
        let is_news = |suspicion: &Suspicion| {
            let Suspicion { content, age_ms, is_strong, .. } = *suspicion;
            if !self.dispatch.borrow().quarantine().is_news(now, suspicion) {
                return false;
            }
            log::info!(
                "event=content_suspected content={content:016x} strong={is_strong} age_ms={age_ms} from={from}"
            );
            self.request_event(dispatch::Event::Suspected(*suspicion));
            true
        };
        let news: Vec<Suspicion> = suspicions.into_iter().filter(is_news).collect();
        telemetry::contents_suspected(news.len());
        // What was sent to this host alone has no id, and is not passed on.
        let announced: Vec<Suspicion> = news.into_iter().filter(|one| one.id != 0).collect();
        if !announced.is_empty() && self.relays_suspicions(from) {
            self.forward_contents(from, &PeerMessage::Suspected(announced));
        }
    }

    /// Whether a content is quarantined on this host, or tried after a quarantine.
    pub(crate) fn is_quarantined(&self, content: ContentHash) -> bool {
        self.dispatch.borrow().quarantine().is_known(self.clock.now(), content)
    }

    /// Tells the hosts that keep the evidence of answers on suspected contents, unless another host's answers release them
    /// first.
    pub(crate) fn report_answers(self: &Rc<Self>, answers: Vec<(ContentHash, u64)>) {
        let hub = self.clone();
        let spread = Duration::from_millis(hub.peers.borrow().len() as u64 / HOSTS_PER_MS);
        let reported = self.clock.now();
        tokio::task::spawn_local(async move {
            sleep(jittered(spread)).await;
            let waited_ms = hub.clock.now().since(reported);
            let is_blocked = |content| hub.dispatch.borrow().quarantine().is_blocked(content);
            let blocked = answers.into_iter().filter(|(content, _)| is_blocked(*content));
            let answers = blocked.map(|(content, began_ms)| (content, began_ms + waited_ms));
            hub.send_answers(answers.collect());
        });
    }

    fn send_answers(self: &Rc<Self>, answers: Vec<(ContentHash, u64)>) {
        let mut by_host: HashMap<Name, Vec<(ContentHash, u64)>> = HashMap::new();
        for (content, began_ms) in answers {
            for host in self.evidence_hosts(content) {
                by_host.entry(host).or_default().push((content, began_ms));
            }
        }
        for (host, answers) in by_host {
            match host == self.settings.host {
                true => self.contents_answered(&host, &answers),
                false => self.send(&host, &PeerMessage::Answered(answers)),
            }
        }
    }

    /// Clears contents on which answers began after upstreams had crashed, as `from` reports.
    pub(crate) fn contents_answered(self: &Rc<Self>, from: &Name, answers: &[(ContentHash, u64)]) {
        for (content, began_ms) in answers {
            if !self.evidence.borrow().has(*content) {
                // It was released, which that host has not heard of, or not in this order.
                let release = vec![Quarantine::release(*content)];
                self.send(from, &PeerMessage::Quarantined(release));
                self.release(*content);
                continue;
            }
            let finding = self.evidence.borrow_mut().clear(self.clock.now(), *content, *began_ms);
            if let Some(finding) = finding {
                self.announce_finding(finding);
            }
        }
    }

    /// Releases a content that was answered after the crashes.
    fn release(self: &Rc<Self>, content: ContentHash) {
        let was_quarantined = self.is_quarantined(content);
        self.apply_quarantines(&self.settings.host.clone(), vec![Quarantine::release(content)]);
        if was_quarantined {
            self.store_quarantine(Quarantine::release(content));
        }
    }

    /// Applies quarantines and releases, and forwards those that are new and effective here.
    pub(crate) fn apply_quarantines(self: &Rc<Self>, from: &Name, quarantines: Vec<Quarantine>) {
        let mut active = Vec::new();
        let mut released = Vec::new();
        for quarantine in quarantines {
            let was_quarantined = self.is_quarantined(quarantine.content);
            if !self.apply_quarantine(from, quarantine) {
                continue;
            }
            match quarantine.is_release() && !was_quarantined {
                true => released.push(quarantine),
                false => active.push(quarantine),
            }
        }
        if !active.is_empty() {
            self.forward_contents(from, &PeerMessage::Quarantined(active));
        }
        if !released.is_empty() && self.relays_suspicions(from) {
            self.forward_contents(from, &PeerMessage::Quarantined(released));
        }
    }

    /// Whether news of suspicions are passed on. Where all hosts hear each other, the host that has them tells all: a suspicion
    /// is short, and there are many.
    fn relays_suspicions(&self, from: &Name) -> bool {
        *from == self.settings.host || self.uses_aggregators()
    }

    /// Applies a quarantine; returns whether it is new and effective here. If such a request was answered after the last
    /// crash, the hosts that keep the evidence are informed of that instead.
    pub(crate) fn apply_quarantine(self: &Rc<Self>, from: &Name, quarantine: Quarantine) -> bool {
        let now = self.clock.now();
        let Quarantine { content, for_ms, ended, .. } = quarantine;
        if !self.dispatch.borrow().quarantine().is_update(now, &quarantine) {
            return false;
        }
        if quarantine.is_release() {
            log::info!("event=content_released content={content:016x} from={from}");
            self.evidence.borrow_mut().release(content);
            self.request_event(dispatch::Event::Quarantined(quarantine));
            return true;
        }
        let answered = self.dispatch.borrow().quarantine().clearing_answer(now, &quarantine);
        log::info!(
            "event=content_held content={content:016x} ended={ended} for_ms={for_ms} answered_here={} from={from}",
            answered.is_some()
        );
        if let Some(began_ms) = answered {
            self.send_answers(vec![(content, began_ms)]);
            return false;
        }
        self.evidence.borrow_mut().adopt(now, &quarantine);
        self.request_event(dispatch::Event::Quarantined(quarantine));
        true
    }

    /// Forwards news of contents to the hosts that understand them.
    fn forward_contents(&self, from: &Name, message: &PeerMessage) {
        let mut hosts = self.forward_receivers(from);
        let peers = self.peers.borrow();
        let understands = |host: &Name| {
            let entry = peers.get(host);
            entry.is_some_and(|entry| entry.capabilities.includes(Capabilities::CONTENTS))
        };
        if !hosts.iter().all(understands) {
            // A host of an earlier build passes nothing on.
            let others = peers.keys().filter(|host| **host != self.settings.host && *host != from);
            hosts = others.filter(|host| understands(host)).cloned().collect();
        }
        self.send_all(hosts.iter(), message);
    }

    /// Sends a message to this host's source and subscribers, except `from`.
    pub(crate) fn forward(&self, from: &Name, message: &PeerMessage) {
        self.send_all(self.forward_receivers(from).iter(), message);
    }

    /// Returns the hosts to which this one passes on what it heard of `from`: all others, or its source
    /// and subscribers where aggregators are used.
    pub(crate) fn forward_receivers(&self, from: &Name) -> BTreeSet<Name> {
        if !self.uses_aggregators() {
            let peers = self.peers.borrow();
            return peers.keys().filter(|host| **host != self.settings.host).cloned().collect();
        }
        let mut hosts = self.sum_receivers();
        {
            let totals = self.totals.borrow();
            hosts.extend(totals.subscribers().chain(totals.listeners()).cloned());
        }
        if let vanetally_fanout::Source::Host(host) = &*self.source.borrow() {
            hosts.insert(host.clone());
        }
        hosts.remove(from);
        hosts.remove(&self.settings.host);
        hosts
    }

    /// Sends a starting host the current quarantines and suspicions.
    pub(crate) fn send_quarantines(&self, host: &Name) {
        let now = self.clock.now();
        let quarantines = self.dispatch.borrow().quarantine().quarantines(now);
        if !quarantines.is_empty() {
            self.send(host, &PeerMessage::Quarantined(quarantines));
        }
        let suspicions = self.evidence.borrow().suspicions(now);
        let entry = self.peers.borrow().get(host).cloned();
        let understands =
            entry.is_some_and(|entry| entry.capabilities.includes(Capabilities::CONTENTS));
        if understands && !suspicions.is_empty() {
            self.send(host, &PeerMessage::Suspected(suspicions));
        }
    }
}

/// Returns the contents of several requests, each once: whether one of them found it answered, and when the last was sent.
fn merge(suspects: Vec<SuspectedContent>) -> impl Iterator<Item = (ContentHash, bool, Tick)> {
    let mut merged: HashMap<ContentHash, (bool, Tick)> = HashMap::new();
    for SuspectedContent { content, is_common, sent_at } in suspects {
        let known = merged.entry(content).or_insert((is_common, sent_at));
        *known = (known.0 | is_common, known.1.max(sent_at));
    }
    merged.into_iter().map(|(content, (is_common, sent_at))| (content, is_common, sent_at))
}
