//! Tries of suspected contents: one request at a time over all hosts.

use crate::{hub::Hub, peers::PeerMessage, telemetry};
use std::{
    collections::{BTreeMap, HashMap},
    rc::Rc,
    time::Duration,
};
use tokio::{sync::oneshot, time::timeout};
use vanetally_dispatch::{Event, RequestId};
use vanetally_quarantine::ContentHash;
use vanetally_types::Name;

/// This host's open queries to hosts that grant tries.
#[derive(Default)]
pub(crate) struct TryQueries {
    next_number: u64,
    open: HashMap<u64, oneshot::Sender<bool>>,
}

/// Time in which a host answers a query for a try.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(150);
/// Number of hosts that are asked if earlier ones do not answer.
const MAX_ASKED: usize = 2;

impl Hub {
    /// Asks for tries of all `contents` of a request.
    pub(crate) fn ask_tries(self: &Rc<Self>, id: RequestId, contents: Vec<ContentHash>) {
        let hub = self.clone();
        tokio::task::spawn_local(async move {
            let mut granted = Vec::new();
            // All hosts ask in the same order, so that none waits for another.
            for content in &contents {
                if !hub.ask_try(*content, contents.len() == 1).await {
                    break;
                }
                granted.push(*content);
            }
            let is_granted = granted.len() == contents.len();
            telemetry::try_answered(is_granted);
            if !is_granted {
                hub.end_tries(&granted);
            }
            hub.request_event(Event::TriesAnswered { id, contents, is_granted });
        });
    }

    /// Asks for a try of one content. If no host answers, this one can't ask anybody, and tries it.
    async fn ask_try(self: &Rc<Self>, content: ContentHash, is_alone: bool) -> bool {
        for host in self.evidence_hosts(content).iter().take(MAX_ASKED) {
            if *host == self.settings.host {
                return self.grant_try(content, host, is_alone);
            }
            let (number, answer) = self.try_queries.borrow_mut().add();
            self.send(host, &PeerMessage::AskTry { number, content, is_alone });
            if let Ok(Ok(is_granted)) = timeout(ANSWER_TIMEOUT, answer).await {
                return is_granted;
            }
            self.try_queries.borrow_mut().open.remove(&number);
        }
        true
    }

    fn grant_try(&self, content: ContentHash, host: &Name, is_alone: bool) -> bool {
        self.evidence.borrow_mut().grant_try(self.clock.now(), content, host, is_alone)
    }

    /// Answers the query of a host for a try.
    pub(crate) fn answer_try(
        self: &Rc<Self>,
        from: &Name,
        number: u64,
        content: ContentHash,
        is_alone: bool,
    ) {
        let is_granted = self.grant_try(content, from, is_alone);
        self.send(from, &PeerMessage::TryAnswered { number, content, is_granted });
    }

    /// Handles the answer to a query. A try that was granted too late is returned.
    pub(crate) fn try_answered(
        self: &Rc<Self>,
        from: &Name,
        number: u64,
        content: ContentHash,
        is_granted: bool,
    ) {
        let query = self.try_queries.borrow_mut().open.remove(&number);
        let is_late = query.is_none_or(|answer| answer.send(is_granted).is_err());
        if is_late && is_granted {
            self.send(from, &PeerMessage::EndTries(vec![content]));
        }
    }

    /// Tells the hosts that grant them that tries are over whose result says nothing of the contents.
    pub(crate) fn end_tries(self: &Rc<Self>, contents: &[ContentHash]) {
        let mut by_host: BTreeMap<Name, Vec<ContentHash>> = BTreeMap::new();
        for content in contents {
            for host in self.evidence_hosts(*content).into_iter().take(MAX_ASKED) {
                by_host.entry(host).or_default().push(*content);
            }
        }
        for (host, contents) in by_host {
            match host == self.settings.host {
                true => self.tries_ended(&host, &contents),
                false => self.send(&host, &PeerMessage::EndTries(contents)),
            }
        }
    }

    /// Handles the end of a host's tries.
    pub(crate) fn tries_ended(&self, from: &Name, contents: &[ContentHash]) {
        let mut evidence = self.evidence.borrow_mut();
        contents.iter().for_each(|content| evidence.end_try(*content, from));
    }
}

impl TryQueries {
    fn add(&mut self) -> (u64, oneshot::Receiver<bool>) {
        let (answer, receiver) = oneshot::channel();
        self.next_number += 1;
        self.open.insert(self.next_number, answer);
        (self.next_number, receiver)
    }
}
