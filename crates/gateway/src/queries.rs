//! Queries to another host: numbered messages that wait for an answer, as opposed to requests of
//! callers.

use std::{collections::HashMap, time::Duration};
use tokio::{sync::oneshot, time::timeout};
use vanetally_quota::GRANTOR_ANSWER_MS;

/// Queries that have not been answered yet, by number.
pub(crate) struct PendingQueries<A> {
    pending: HashMap<u64, oneshot::Sender<A>>,
    next: u64,
}

impl<A> Default for PendingQueries<A> {
    fn default() -> Self {
        Self { pending: HashMap::new(), next: 0 }
    }
}

impl<A> PendingQueries<A> {
    /// Registers a query; returns its number and the channel of its answer.
    pub(crate) fn register(&mut self) -> (u64, oneshot::Receiver<A>) {
        let number = self.next;
        self.next += 1;
        let (sender, answer) = oneshot::channel();
        self.pending.insert(number, sender);
        (number, answer)
    }

    /// Delivers the answer to query `number`; returns it if nothing waits for it any more.
    pub(crate) fn answered(&mut self, number: u64, answer: A) -> Option<A> {
        match self.pending.remove(&number) {
            Some(sender) => sender.send(answer).err(),
            None => Some(answer),
        }
    }

    /// Drops query `number`, whose answer is no longer needed.
    pub(crate) fn forget(&mut self, number: u64) {
        self.pending.remove(&number);
    }
}

/// Timeout of the grantor's answer, after which this host decides alone.
pub(crate) const GRANTOR_TIMEOUT: Duration = Duration::from_millis(GRANTOR_ANSWER_MS);

/// Waits for the grantor's answer; `None` on timeout.
pub(crate) async fn await_grantor<A>(answer: oneshot::Receiver<A>) -> Option<A> {
    timeout(GRANTOR_TIMEOUT, answer).await.ok().and_then(Result::ok)
}
