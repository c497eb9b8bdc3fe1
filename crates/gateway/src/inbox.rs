//! Messages of other hosts that wait to be handled.
//!
//! A busy host handles messages late, and what it knows is older then than it looks.

use crate::{
    clock::{self, Clock},
    hub::Hub,
    peers::PeerMessage,
    telemetry,
};
use std::rc::Rc;
use tokio::sync::mpsc;
use vanetally_types::{Name, Tick};

/// Time that a message may wait without a log line.
const LATE_MS: u64 = 200;
/// Minimum interval between two such lines.
const LOG_INTERVAL_MS: u64 = 1_000;

/// A message of another host.
struct Received {
    from: Name,
    message: PeerMessage,
    at: Tick,
}

/// The end at which the threads of the links leave messages.
pub(crate) struct InboxSender {
    clock: Clock,
    messages: mpsc::UnboundedSender<Received>,
}

impl InboxSender {
    /// Leaves a message, with the time.
    pub(crate) fn put(&self, from: Name, message: PeerMessage) {
        let received = Received { from, message, at: self.clock.now() };
        // The receiving loop ends with the process.
        let _ = self.messages.send(received);
    }
}

/// The end at which messages are handled.
pub(crate) struct Inbox {
    clock: Clock,
    messages: mpsc::UnboundedReceiver<Received>,
    /// When the last late message was logged.
    logged_at: Tick,
}

/// Creates an empty inbox.
pub(crate) fn create() -> (InboxSender, Inbox) {
    let clock = Clock::starting_at(clock::ORIGIN);
    let (sender, messages) = mpsc::unbounded_channel();
    (InboxSender { clock, messages: sender }, Inbox { clock, messages, logged_at: Tick(0) })
}

impl Inbox {
    /// Handles all messages in order.
    pub(crate) async fn run(mut self, hub: Rc<Hub>) {
        while let Some(Received { from, message, at }) = self.messages.recv().await {
            self.record_wait(&from, at);
            hub.handle_peer_message(&from, message);
        }
    }

    fn record_wait(&mut self, from: &Name, at: Tick) {
        let now = self.clock.now();
        let waited_ms = now.since(at);
        telemetry::message_waited(waited_ms);
        if waited_ms > LATE_MS && now.since(self.logged_at) >= LOG_INTERVAL_MS {
            self.logged_at = now;
            let queued = self.messages.len();
            log::warn!("event=messages_late from={from} waited_ms={waited_ms} queued={queued}");
        }
    }
}
