//! Contents under which upstreams end: telling their judge, judging, and telling all hosts.

use crate::{hub::Hub, peers::PeerMessage, telemetry};
use std::rc::Rc;
use vanetally_dispatch as dispatch;
use vanetally_quarantine::{Content, Sentence};
use vanetally_types::{Incarnation, Name, rendezvous_rank};

impl Hub {
    /// Tells the judge of a content that an attempt of it broke off.
    pub(crate) fn accuse(self: &Rc<Self>, content: Content, upstream: Incarnation) {
        let judge = {
            let peers = self.peers.borrow();
            let own = &self.settings.host;
            let others = peers.keys().filter(|host| *host != own);
            rendezvous_rank(content, others.chain([own])).first().map(|host| (*host).clone())
        };
        match judge {
            Some(host) if host != self.settings.host => {
                self.send(&host, &PeerMessage::Accuse { content, upstream });
            }
            _ => self.judge(content, upstream),
        }
    }

    /// Weighs that an attempt of a content broke off at `upstream`.
    pub(crate) fn judge(self: &Rc<Self>, content: Content, upstream: Incarnation) {
        let now = self.clock.now();
        let sentence = self.judge.borrow_mut().ended(now, content, upstream.clone());
        let Some(sentence) = sentence else {
            return;
        };
        log::warn!(
            "event=content_sentenced content={content:016x} upstream={upstream} ended={} for_ms={}",
            sentence.ended,
            sentence.for_ms
        );
        telemetry::sentenced();
        self.sentenced(&self.settings.host.clone(), vec![sentence]);
    }

    /// Takes in sentences, and passes those on that are news.
    pub(crate) fn sentenced(self: &Rc<Self>, from: &Name, sentences: Vec<Sentence>) {
        let now = self.clock.now();
        let dispatch = self.dispatch.borrow();
        let news: Vec<Sentence> =
            sentences.into_iter().filter(|one| dispatch.is_news(now, one)).collect();
        drop(dispatch);
        if news.is_empty() {
            return;
        }
        for sentence in &news {
            log::info!(
                "event=content_held content={:016x} ended={} for_ms={} from={from}",
                sentence.content,
                sentence.ended,
                sentence.for_ms
            );
            self.request_event(dispatch::Event::Sentenced(*sentence));
        }
        self.spread(from, &PeerMessage::Sentenced(news));
    }

    /// Tells the hosts that this one hears from and those that hear from it, but not `from`.
    fn spread(&self, from: &Name, message: &PeerMessage) {
        if !self.is_fleet() {
            return self.broadcast(message);
        }
        let mut hosts = self.sum_readers();
        {
            let totals = self.totals.borrow();
            hosts.extend(totals.subscribers().chain(totals.listeners()).cloned());
        }
        if let vanetally_fanout::Source::Host(host) = &*self.source.borrow() {
            hosts.insert(host.clone());
        }
        hosts.remove(from);
        hosts.remove(&self.settings.host);
        self.send_all(hosts.iter(), message);
    }

    /// Tells a host that starts what is kept back.
    pub(crate) fn tell_sentences(&self, host: &Name) {
        let sentences = self.dispatch.borrow().sentences(self.clock.now());
        if !sentences.is_empty() {
            self.send(host, &PeerMessage::Sentenced(sentences));
        }
    }
}
