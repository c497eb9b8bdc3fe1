//! Questions to another host, and their answers.

use std::{collections::HashMap, time::Duration};
use tokio::{sync::oneshot, time::timeout};

/// Questions that were asked and not answered yet.
pub(crate) struct Questions<A> {
    open: HashMap<u64, oneshot::Sender<A>>,
    next: u64,
}

impl<A> Default for Questions<A> {
    fn default() -> Self {
        Self { open: HashMap::new(), next: 0 }
    }
}

impl<A> Questions<A> {
    /// Numbers a question.
    pub(crate) fn ask(&mut self) -> (u64, oneshot::Receiver<A>) {
        let number = self.next;
        self.next += 1;
        let (sender, answer) = oneshot::channel();
        self.open.insert(number, sender);
        (number, answer)
    }

    /// The question `number` was answered; gives the answer back if nobody waits for it any more.
    pub(crate) fn answered(&mut self, number: u64, answer: A) -> Option<A> {
        match self.open.remove(&number) {
            Some(question) => question.send(answer).err(),
            None => Some(answer),
        }
    }

    /// Nobody waits for the answer any more.
    pub(crate) fn forget(&mut self, number: u64) {
        self.open.remove(&number);
    }
}

/// For the grantor to answer: after that this host decides alone. Weak hosts are held back for up to a tenth of a
/// second at a time; those that grant are strong.
pub(crate) const GRANTOR_ANSWER: Duration = Duration::from_millis(60);

/// Waits for the grantor's answer.
pub(crate) async fn grantor_answer<A>(answer: oneshot::Receiver<A>) -> Option<A> {
    timeout(GRANTOR_ANSWER, answer).await.ok().and_then(Result::ok)
}
