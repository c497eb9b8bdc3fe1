//! Decides on what callers may hold.

use crate::{
    bodies::{Bodies, BodyId, STALLED_MS},
    connections::{ConnectionId, Connections, Phase},
    limits::Limits,
};
use vanetally_types::Tick;

/// Time limits on callers, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timeouts {
    /// From the first byte of a head to its end.
    pub head_ms: u64,
    /// For a connection without a request, and between two bytes of a body.
    pub idle_ms: u64,
}

/// What happens at the host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// A connection was accepted.
    Opened(ConnectionId),
    /// The first byte of a head arrived.
    HeadBegan(ConnectionId),
    /// A head was read completely: a request begins.
    HeadRead(ConnectionId),
    /// Its request was refused before its body was read.
    Refused(ConnectionId),
    /// Its answer was written to the socket, or ended otherwise; the system may still hold this number of bytes of it.
    Answered(ConnectionId, usize),
    /// The caller took some of its answer.
    Taken(ConnectionId),
    /// The caller takes nothing of an answer that waits for it.
    Blocked(ConnectionId),
    /// A connection was closed.
    Closed(ConnectionId),
    /// The body of a request on this connection begins.
    BodyBegan(BodyId, ConnectionId),
    /// A body is to hold this number of bytes in all.
    BodyGrows(BodyId, usize),
    /// This number of bytes of a body arrived.
    BodyReceived(BodyId, usize),
    /// All of a body has arrived.
    BodyRead(BodyId),
    /// This number of bytes of an answer is held in all.
    AnswerHeld(BodyId, usize),
    /// A body or an answer is no longer held.
    Released(BodyId),
    /// Time has passed.
    Tick(Timeouts),
}

/// Why a body gives way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// The host has no room for it.
    NoRoom,
    /// Nothing of it has arrived for the idle time.
    Silent,
}

/// What the host has to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Closes a connection. It is no longer counted.
    Close(ConnectionId),
    /// Refuses the request of a body that has not arrived completely. The body is no longer counted.
    Refuse(BodyId, Reason),
    /// Refuses the request on a connection whose head or body was just read. It is no longer counted.
    RefuseRequest(ConnectionId),
    /// Returns free memory to the system: much that was held is held no more.
    ReleaseMemory,
}

/// What callers hold.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Open connections.
    pub connections: usize,
    /// Connections with a request that was read, until its answer is written.
    pub answering: usize,
    /// Bodies and answers.
    pub bodies: usize,
    /// Bytes of bodies and answers.
    pub bytes: usize,
    /// Bytes of connections, requests, bodies and answers.
    pub all_bytes: usize,
}

/// Time between two ticks beyond which the host stood still: what callers sent meanwhile is not read yet.
const STANDSTILL_MS: u64 = 1_000;

/// Part of what callers may hold that must have been given up before free memory is returned, as a divisor.
const RELEASE_DIVISOR: usize = 16;

/// What the callers of a host hold together.
#[derive(Debug)]
pub struct Admission {
    limits: Limits,
    connections: Connections,
    bodies: Bodies,
    ticked: Tick,
    /// Most bytes held since free memory was last returned.
    peak_bytes: usize,
    /// Bytes held at the last tick.
    ticked_bytes: usize,
}

impl Admission {
    /// Creates the state of a host that starts now.
    pub fn new(now: Tick, limits: Limits) -> Self {
        let (connections, bodies) = Default::default();
        let (peak_bytes, ticked_bytes) = (0, 0);
        Self { limits, connections, bodies, ticked: now, peak_bytes, ticked_bytes }
    }

    /// Returns what callers hold.
    pub fn counts(&self) -> Counts {
        Counts {
            connections: self.connections.len(),
            answering: self.connections.answering(),
            bodies: self.bodies.len(),
            bytes: self.bodies.bytes(),
            all_bytes: self.all_bytes(),
        }
    }

    fn all_bytes(&self) -> usize {
        self.connections.bytes() + self.bodies.bytes()
    }

    /// Handles an event; returns what to do in order.
    pub fn handle(&mut self, now: Tick, event: Event) -> Vec<Action> {
        let actions = self.apply(now, event);
        self.peak_bytes = self.peak_bytes.max(self.all_bytes());
        actions
    }

    fn apply(&mut self, now: Tick, event: Event) -> Vec<Action> {
        match event {
            Event::Opened(id) => return self.opened(now, id),
            Event::HeadBegan(id) => self.connections.set(now, id, Phase::Head),
            Event::HeadRead(id) => return self.request_enters(now, id, Phase::Reading),
            Event::Refused(id) => self.connections.set(now, id, Phase::Draining),
            Event::Answered(id, left) => {
                let is_small = left <= Limits::SMALL_REST_BYTES;
                let phase = if is_small { Phase::Resting } else { Phase::Taking };
                self.connections.set(now, id, phase);
            }
            Event::Taken(id) => self.connections.touch(now, id),
            Event::Blocked(id) => self.connections.block(now, id),
            Event::Closed(id) => self.connections.remove(id),
            Event::BodyBegan(id, connection) => self.bodies.begin(now, id, connection),
            Event::BodyGrows(id, bytes) => return self.body_grows(now, id, bytes),
            Event::BodyReceived(id, bytes) => self.bodies.receive(now, id, bytes),
            Event::BodyRead(id) => {
                let connection = self.bodies.complete(id);
                return connection.map_or_else(Vec::new, |connection| {
                    self.request_enters(now, connection, Phase::Busy)
                });
            }
            Event::AnswerHeld(id, bytes) => self.bodies.hold_answer(now, id, bytes),
            Event::Released(id) => {
                self.bodies.remove(id);
            }
            Event::Tick(timeouts) => return self.tick(now, timeouts),
        }
        Vec::new()
    }

    fn opened(&mut self, now: Tick, id: ConnectionId) -> Vec<Action> {
        self.connections.insert(now, id);
        if self.connections.len() > self.limits.connections {
            return vec![self.give_up_connection(now, id)];
        }
        let (mut actions, fits) = self.make_room(now, id);
        if !fits {
            self.connections.remove(id);
            actions.push(Action::Close(id));
        }
        actions
    }

    /// Closes one connection of too many, or lets go of what keeps one busy.
    fn give_up_connection(&mut self, now: Tick, id: ConnectionId) -> Action {
        if let Some(victim) = self.connections.take_victim(id) {
            return Action::Close(victim);
        }
        // The connection of a body that is refused is the first one to give way next time.
        if let Some(body) = self.bodies.stalled(now) {
            return self.refuse(now, body, Reason::NoRoom);
        }
        let blocked = self.connections.take_blocked(now, id, STALLED_MS).unwrap_or(id);
        self.connections.remove(blocked);
        Action::Close(blocked)
    }

    /// Lets a request take what it needs in its next phase, or refuses it.
    fn request_enters(&mut self, now: Tick, id: ConnectionId, phase: Phase) -> Vec<Action> {
        self.connections.set(now, id, phase);
        let (mut actions, fits) = self.make_room(now, id);
        if !fits {
            self.connections.set(now, id, Phase::Draining);
            actions.push(Action::RefuseRequest(id));
        }
        actions
    }

    /// Lets others give way to the connection `id` until all that is held fits; returns what to do, and whether it fits.
    fn make_room(&mut self, now: Tick, id: ConnectionId) -> (Vec<Action>, bool) {
        let mut actions = Vec::new();
        while !self.fits() {
            match self.give_way(now, id) {
                Some(action) => actions.push(action),
                None => return (actions, false),
            }
        }
        (actions, true)
    }

    /// Whether connections and requests leave the bodies what they hold, and small ones their share.
    fn fits(&self) -> bool {
        let bodies = self.bodies.bytes().max(self.limits.small_bytes());
        self.connections.bytes() + bodies <= self.limits.all_bytes
    }

    /// Frees memory for the connection `id`: what makes no progress goes first, then connections without a request.
    fn give_way(&mut self, now: Tick, id: ConnectionId) -> Option<Action> {
        if let Some(body) = self.bodies.stalled(now) {
            return Some(self.refuse(now, body, Reason::NoRoom));
        }
        let blocked = self.connections.take_blocked(now, id, STALLED_MS);
        blocked.or_else(|| self.connections.take_victim(id)).map(Action::Close)
    }

    fn body_grows(&mut self, now: Tick, id: BodyId, bytes: usize) -> Vec<Action> {
        let mut actions = Vec::new();
        loop {
            let room = self.limits.all_bytes.saturating_sub(self.connections.bytes());
            let Some(victim) = self.bodies.grow(now, id, bytes, &self.limits, room) else {
                return actions;
            };
            actions.push(self.refuse(now, victim, Reason::NoRoom));
        }
    }

    /// Refuses the request of a body. What still arrives on its connection is dropped.
    fn refuse(&mut self, now: Tick, body: BodyId, reason: Reason) -> Action {
        if let Some(connection) = self.bodies.remove(body) {
            self.connections.set(now, connection, Phase::Draining);
        }
        Action::Refuse(body, reason)
    }

    fn tick(&mut self, now: Tick, timeouts: Timeouts) -> Vec<Action> {
        let passed = now.since(std::mem::replace(&mut self.ticked, now));
        if passed > STANDSTILL_MS {
            self.connections.shift(passed);
            self.bodies.shift(passed);
        }
        self.connections.end_taking(now);
        let max_ms = |phase| match phase {
            Phase::Head => Some(timeouts.head_ms),
            Phase::Unused | Phase::Resting | Phase::Taking => Some(timeouts.idle_ms),
            // The host itself ends these.
            Phase::Draining | Phase::Reading | Phase::Busy => None,
        };
        let expired = self.connections.take_expired(now, max_ms).into_iter().map(Action::Close);
        let mut actions: Vec<Action> = expired.collect();
        for body in self.bodies.silent(now, timeouts.idle_ms) {
            actions.push(self.refuse(now, body, Reason::Silent));
        }
        actions.extend(self.release_memory());
        actions
    }

    /// Returns free memory a tick after much was given up, when the tasks that held it have ended.
    fn release_memory(&mut self) -> Option<Action> {
        let bytes = self.all_bytes();
        let is_falling = bytes < std::mem::replace(&mut self.ticked_bytes, bytes);
        let given_up = self.peak_bytes.saturating_sub(bytes);
        if is_falling || given_up < self.limits.all_bytes / RELEASE_DIVISOR {
            return None;
        }
        self.peak_bytes = bytes;
        Some(Action::ReleaseMemory)
    }
}
