//! Contents under which upstreams end: telling their judge, judging, and telling all hosts.

use crate::{hub::Hub, peers::PeerMessage, telemetry};
use std::{io::ErrorKind, net::SocketAddr, rc::Rc, time::Duration};
use tokio::time::timeout;
use vanetally_dispatch as dispatch;
use vanetally_link::socket;
use vanetally_quarantine::{Content, Sentence};
use vanetally_types::{Incarnation, Name, rendezvous_rank};

/// For an upstream that lives to take a connection.
const LOOK: Duration = Duration::from_millis(500);

/// Accuses a content if nobody listens at the upstream any more. An answer that breaks off shows no end: a way that was
/// cut, or an answer that was spoiled, looks the same, and speaks against no content.
pub(crate) async fn look_and_accuse(
    hub: Rc<Hub>,
    content: Content,
    upstream: Incarnation,
    address: SocketAddr,
) {
    let connected = timeout(LOOK, socket::connect(address)).await;
    let has_ended =
        matches!(connected, Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused);
    if has_ended {
        hub.accuse(content, upstream);
    }
}

impl Hub {
    /// Tells the judge of a content that an attempt of it broke off.
    fn accuse(self: &Rc<Self>, content: Content, upstream: Incarnation) {
        match self.judge_of(content) {
            Some(host) => self.send(&host, &PeerMessage::Accuse { content, upstream }),
            None => self.judge(content, upstream),
        }
    }

    /// The host that judges a content; none if it is this one.
    fn judge_of(&self, content: Content) -> Option<Name> {
        let peers = self.peers.borrow();
        let own = &self.settings.host;
        let others = peers.keys().filter(|host| *host != own);
        let first = rendezvous_rank(content, others.chain([own])).first().copied()?;
        (first != own).then(|| first.clone())
    }

    /// A request of a content that this host judges was answered whole.
    pub(crate) fn acquit(self: &Rc<Self>, content: Content) {
        let freed = self.judge.borrow_mut().acquit(content);
        if let Some(freed) = freed {
            log::info!("event=content_freed content={content:016x} ended={}", freed.ended);
            self.sentenced(&self.settings.host.clone(), vec![freed]);
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
        let is_answered = |one: &&Sentence| one.for_ms > 0 && dispatch.was_answered(one.content);
        let answered: Vec<Content> =
            news.iter().filter(is_answered).map(|one| one.content).collect();
        drop(dispatch);
        for content in answered {
            match self.judge_of(content) {
                Some(judge) => self.send(&judge, &PeerMessage::Acquit(content)),
                None => self.acquit(content),
            }
        }
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
