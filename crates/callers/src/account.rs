//! What callers make this host hold: passes events to the admission and performs its actions.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    rc::Rc,
};
use tokio::sync::{Notify, oneshot};
use vanetally_admission::{
    Action, Admission, BodyId, ConnectionId, Counts, Event, Limits, Reason, Timeouts,
};
use vanetally_clock::Clock;

/// The connections of callers at one address, and what they hold.
pub struct Callers {
    clock: Clock,
    admission: RefCell<Admission>,
    next: Cell<u64>,
    /// Wakes the task of a connection that is to be closed.
    closers: RefCell<HashMap<ConnectionId, Rc<Notify>>>,
    /// Tells the task that reads a body that it is refused.
    refusers: RefCell<HashMap<BodyId, oneshot::Sender<Reason>>>,
}

impl Callers {
    /// Creates the state of an address without connections.
    pub fn new(clock: Clock, limits: Limits) -> Rc<Self> {
        Rc::new(Self {
            clock,
            admission: RefCell::new(Admission::new(clock.now(), limits)),
            next: Cell::default(),
            closers: RefCell::default(),
            refusers: RefCell::default(),
        })
    }

    /// Counts a connection that was just accepted.
    pub fn open(self: &Rc<Self>) -> Rc<OpenConnection> {
        let id = ConnectionId(self.next_id());
        let closer = Rc::new(Notify::new());
        self.closers.borrow_mut().insert(id, closer.clone());
        self.handle(Event::Opened(id));
        Rc::new(OpenConnection {
            callers: self.clone(),
            id,
            closer,
            is_waiting: Cell::new(true),
            is_blocked: Cell::new(false),
            is_answered: Cell::new(false),
            written: Cell::new(0),
            is_drained: Cell::new(false),
        })
    }

    /// Begins to hold an answer, of which nothing has been read.
    pub fn begin_answer(self: &Rc<Self>) -> Held {
        Held { callers: self.clone(), id: BodyId(self.next_id()) }
    }

    /// Applies the time limits.
    pub fn tick(&self, timeouts: Timeouts) {
        self.handle(Event::Tick(timeouts));
    }

    /// Returns what callers hold.
    pub fn counts(&self) -> Counts {
        self.admission.borrow().counts()
    }

    fn next_id(&self) -> u64 {
        self.next.replace(self.next.get() + 1)
    }

    /// Handles an event; returns whether it is a request that is refused.
    fn handle(&self, event: Event) -> bool {
        let mut is_refused = false;
        let actions = self.admission.borrow_mut().handle(self.clock.now(), event);
        for action in actions {
            match action {
                Action::Close(id) => {
                    metrics::counter!("vanetally_callers_closed_total").increment(1);
                    if let Some(closer) = self.closers.borrow().get(&id) {
                        closer.notify_one();
                    }
                }
                Action::Refuse(id, reason) => {
                    if let Some(refuser) = self.refusers.borrow_mut().remove(&id) {
                        // The caller may just have left.
                        let _ = refuser.send(reason);
                    }
                }
                Action::RefuseRequest(_) => is_refused = true,
                Action::ReleaseMemory => vanetally_heap::release_free(),
            }
        }
        is_refused
    }
}

/// An open connection of a caller.
pub struct OpenConnection {
    callers: Rc<Callers>,
    id: ConnectionId,
    closer: Rc<Notify>,
    /// Whether the next byte begins a head.
    is_waiting: Cell<bool>,
    /// Whether the caller has taken nothing since an answer last had to wait for it.
    is_blocked: Cell<bool>,
    /// Whether the last answer was handed over, but perhaps not yet written.
    is_answered: Cell<bool>,
    /// Bytes written since the last request began.
    written: Cell<usize>,
    /// Whether what still arrives is read and dropped before the connection is closed.
    is_drained: Cell<bool>,
}

impl OpenConnection {
    /// Waits until the connection has to be closed.
    pub async fn closed(&self) {
        self.closer.notified().await;
    }

    /// Records that bytes arrived.
    pub fn received(&self) {
        if self.is_waiting.replace(false) {
            self.is_answered.set(false);
            self.callers.handle(Event::HeadBegan(self.id));
        }
    }

    /// Records that the caller, or the system for it, took `bytes`.
    pub fn taken(&self, bytes: usize) {
        self.written.set(self.written.get() + bytes);
        if self.is_blocked.replace(false) || self.is_waiting.get() {
            self.callers.handle(Event::Taken(self.id));
        }
    }

    /// Records that all that was to be written is.
    pub fn flushed(&self) {
        if self.is_answered.replace(false) {
            self.callers.handle(Event::Answered(self.id, self.written.get()));
        }
    }

    /// Records that the caller takes nothing of what waits for it.
    pub fn blocked(&self) {
        if !self.is_blocked.replace(true) {
            self.callers.handle(Event::Blocked(self.id));
        }
    }

    /// Records that the head of a request was read; returns the guard of its answer.
    pub fn begin_request(self: &Rc<Self>) -> OpenRequest {
        self.is_waiting.set(false);
        self.is_answered.set(false);
        self.written.set(0);
        let is_refused = self.callers.handle(Event::HeadRead(self.id));
        OpenRequest { connection: self.clone(), is_refused }
    }

    /// Whether what still arrives is read and dropped before the connection is closed.
    pub fn is_drained(&self) -> bool {
        self.is_drained.get()
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.callers.closers.borrow_mut().remove(&self.id);
        self.callers.handle(Event::Closed(self.id));
    }
}

/// A request on a connection, until its answer has been handed over.
pub struct OpenRequest {
    connection: Rc<OpenConnection>,
    is_refused: bool,
}

impl OpenRequest {
    /// Whether the host has no room for the request.
    pub fn is_refused(&self) -> bool {
        self.is_refused
    }

    /// Begins to hold the body of the request.
    pub(crate) fn begin_body(&self) -> IncomingBody {
        let OpenConnection { callers, id: connection, .. } = &*self.connection;
        let id = BodyId(callers.next_id());
        let (refuser, refused) = oneshot::channel();
        callers.refusers.borrow_mut().insert(id, refuser);
        callers.handle(Event::BodyBegan(id, *connection));
        IncomingBody { held: Held { callers: callers.clone(), id }, refused }
    }

    /// Records that the request was refused although its body has not been read: the caller is still sending, and a close
    /// with unread bytes would take its answer away.
    pub fn refused_early(&self) {
        self.connection.is_drained.set(true);
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        let OpenConnection { callers, id, is_waiting, is_answered, is_drained, .. } =
            &*self.connection;
        if is_drained.get() {
            callers.handle(Event::Refused(*id));
        } else {
            is_waiting.set(true);
            is_answered.set(true);
        }
    }
}

/// The body of a request while it is read.
pub(crate) struct IncomingBody {
    held: Held,
    refused: oneshot::Receiver<Reason>,
}

impl IncomingBody {
    /// Waits until the host refuses the request.
    pub async fn refused(&mut self) -> Reason {
        match (&mut self.refused).await {
            Ok(reason) => reason,
            // The sender lives as long as the body is counted.
            Err(_) => std::future::pending().await,
        }
    }

    /// Counts `bytes` in all as held.
    ///
    /// # Errors
    /// If the host has no room for them.
    pub fn grow(&mut self, bytes: usize) -> Result<(), Reason> {
        self.held.callers.handle(Event::BodyGrows(self.held.id, bytes));
        self.refused.try_recv().map_or(Ok(()), Err)
    }

    /// Records that `bytes` arrived.
    pub fn received(&self, bytes: usize) {
        self.held.callers.handle(Event::BodyReceived(self.held.id, bytes));
    }

    /// Records that all of it has arrived.
    ///
    /// # Errors
    /// If the host has no room for the request.
    pub fn complete(self) -> Result<Held, Reason> {
        match self.held.callers.handle(Event::BodyRead(self.held.id)) {
            true => Err(Reason::NoRoom),
            false => Ok(self.held),
        }
    }
}

/// Counts bytes as held until it is dropped.
pub struct Held {
    callers: Rc<Callers>,
    id: BodyId,
}

impl Held {
    /// Counts an answer as holding `bytes` in all.
    pub fn hold_answer(&self, bytes: usize) {
        self.callers.handle(Event::AnswerHeld(self.id, bytes));
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        self.callers.refusers.borrow_mut().remove(&self.id);
        self.callers.handle(Event::Released(self.id));
    }
}
