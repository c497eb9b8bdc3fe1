//! What callers make this host hold: passes events to the admission and performs its actions.

use crate::{clock::Clock, telemetry};
use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    rc::Rc,
};
use tokio::sync::Notify;
use vanetally_admission::{Action, Admission, ConnectionId, Counts, Event, Limits, Timeouts};

/// The connections of callers at one address, and what they hold.
pub(crate) struct Callers {
    clock: Clock,
    admission: RefCell<Admission>,
    next: Cell<u64>,
    /// Wakes the task of a connection that is to be closed.
    closers: RefCell<HashMap<ConnectionId, Rc<Notify>>>,
}

impl Callers {
    /// Creates the state of an address without connections.
    pub(crate) fn new(clock: Clock, limits: Limits) -> Rc<Self> {
        Rc::new(Self {
            clock,
            admission: RefCell::new(Admission::new(clock.now(), limits)),
            next: Cell::default(),
            closers: RefCell::default(),
        })
    }

    /// Counts a connection that was just accepted.
    pub(crate) fn open(self: &Rc<Self>) -> Rc<OpenConnection> {
        let id = ConnectionId(self.next_id());
        let closer = Rc::new(Notify::new());
        self.closers.borrow_mut().insert(id, closer.clone());
        self.handle(Event::Opened(id));
        Rc::new(OpenConnection { callers: self.clone(), id, closer, is_waiting: Cell::new(true) })
    }

    /// Applies the time limits.
    pub(crate) fn tick(&self, timeouts: Timeouts) {
        self.handle(Event::Tick(timeouts));
    }

    /// Returns what callers hold.
    pub(crate) fn counts(&self) -> Counts {
        self.admission.borrow().counts()
    }

    fn next_id(&self) -> u64 {
        self.next.replace(self.next.get() + 1)
    }

    fn handle(&self, event: Event) {
        let actions = self.admission.borrow_mut().handle(self.clock.now(), event);
        for action in actions {
            match action {
                Action::Close(id) => {
                    telemetry::caller_closed();
                    if let Some(closer) = self.closers.borrow().get(&id) {
                        closer.notify_one();
                    }
                }
                // No bodies are counted yet.
                Action::Refuse(..) => {}
            }
        }
    }
}

/// An open connection of a caller.
pub(crate) struct OpenConnection {
    callers: Rc<Callers>,
    id: ConnectionId,
    closer: Rc<Notify>,
    /// Whether the next byte begins a head.
    is_waiting: Cell<bool>,
}

impl OpenConnection {
    /// Waits until the connection has to be closed.
    pub(crate) async fn closed(&self) {
        self.closer.notified().await;
    }

    /// Records that bytes arrived.
    pub(crate) fn received(&self) {
        if self.is_waiting.replace(false) {
            self.callers.handle(Event::HeadBegan(self.id));
        }
    }

    /// Records that the caller took bytes.
    pub(crate) fn taken(&self) {
        if self.is_waiting.get() {
            self.callers.handle(Event::Taken(self.id));
        }
    }

    /// Records that the head of a request was read; returns the guard of its answer.
    pub(crate) fn begin_request(self: &Rc<Self>) -> OpenRequest {
        self.is_waiting.set(false);
        self.callers.handle(Event::HeadRead(self.id));
        OpenRequest(self.clone())
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.callers.closers.borrow_mut().remove(&self.id);
        self.callers.handle(Event::Closed(self.id));
    }
}

/// A request on a connection, until its answer has been handed over.
pub(crate) struct OpenRequest(Rc<OpenConnection>);

impl Drop for OpenRequest {
    fn drop(&mut self) {
        let OpenConnection { callers, id, is_waiting, .. } = &*self.0;
        is_waiting.set(true);
        callers.handle(Event::Answered(*id));
    }
}
