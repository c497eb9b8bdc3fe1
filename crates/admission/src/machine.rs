//! Decides on what callers may hold.

use crate::{
    bodies::{Bodies, BodyId},
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
    /// A head was read completely.
    HeadRead(ConnectionId),
    /// Its request was refused before its body was read.
    Refused(ConnectionId),
    /// Its answer was handed over to the socket, or ended otherwise.
    Answered(ConnectionId),
    /// The caller took some of its answer.
    Taken(ConnectionId),
    /// A connection was closed.
    Closed(ConnectionId),
    /// The body of a request begins.
    BodyBegan(BodyId),
    /// A body is to hold this number of bytes in all.
    BodyGrows(BodyId, usize),
    /// This number of bytes of a body arrived.
    BodyReceived(BodyId, usize),
    /// All of a body has arrived.
    BodyRead(BodyId),
    /// An answer of this number of bytes is held for its caller.
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
}

/// What callers hold.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Open connections.
    pub connections: usize,
    /// Bodies and answers.
    pub bodies: usize,
    /// Bytes of bodies and answers.
    pub bytes: usize,
}

/// Time between two ticks beyond which the host stood still: what callers sent meanwhile is not read yet.
const STANDSTILL_MS: u64 = 1_000;

/// What the callers of a host hold together.
#[derive(Debug)]
pub struct Admission {
    limits: Limits,
    connections: Connections,
    bodies: Bodies,
    ticked: Tick,
}

impl Admission {
    /// Creates the state of a host that starts now.
    pub fn new(now: Tick, limits: Limits) -> Self {
        let (connections, bodies) = Default::default();
        Self { limits, connections, bodies, ticked: now }
    }

    /// Returns what callers hold.
    pub fn counts(&self) -> Counts {
        Counts {
            connections: self.connections.len(),
            bodies: self.bodies.len(),
            bytes: self.bodies.bytes(),
        }
    }

    /// Handles an event; returns what to do in order.
    pub fn handle(&mut self, now: Tick, event: Event) -> Vec<Action> {
        match event {
            Event::Opened(id) => return self.opened(now, id),
            Event::HeadBegan(id) => self.connections.set(now, id, Phase::Head),
            Event::HeadRead(id) => self.connections.set(now, id, Phase::Busy),
            Event::Refused(id) => self.connections.set(now, id, Phase::Draining),
            Event::Answered(id) => self.connections.set(now, id, Phase::Resting),
            Event::Taken(id) => self.connections.touch(now, id),
            Event::Closed(id) => self.connections.remove(id),
            Event::BodyBegan(id) => self.bodies.begin(now, id),
            Event::BodyGrows(id, bytes) => {
                return refusals(self.bodies.grow(now, id, bytes, &self.limits), Reason::NoRoom);
            }
            Event::BodyReceived(id, bytes) => self.bodies.receive(now, id, bytes),
            Event::BodyRead(id) => self.bodies.complete(id),
            Event::AnswerHeld(id, bytes) => self.bodies.insert_whole(now, id, bytes),
            Event::Released(id) => self.bodies.remove(id),
            Event::Tick(timeouts) => return self.tick(now, timeouts),
        }
        Vec::new()
    }

    fn opened(&mut self, now: Tick, id: ConnectionId) -> Vec<Action> {
        self.connections.insert(now, id);
        if self.connections.len() <= self.limits.connections {
            return Vec::new();
        }
        if let Some(victim) = self.connections.take_victim(id) {
            return vec![Action::Close(victim)];
        }
        // The connection of a body that is refused is the first one to give way next time.
        if let Some(body) = self.bodies.take_stalled(now) {
            return vec![Action::Refuse(body, Reason::NoRoom)];
        }
        self.connections.remove(id);
        vec![Action::Close(id)]
    }

    fn tick(&mut self, now: Tick, timeouts: Timeouts) -> Vec<Action> {
        let passed = now.since(std::mem::replace(&mut self.ticked, now));
        if passed > STANDSTILL_MS {
            self.connections.shift(passed);
            self.bodies.shift(passed);
        }
        let max_ms = |phase| match phase {
            Phase::Head => Some(timeouts.head_ms),
            Phase::Unused | Phase::Resting => Some(timeouts.idle_ms),
            // The host itself ends these.
            Phase::Draining | Phase::Busy => None,
        };
        let expired = self.connections.take_expired(now, max_ms).into_iter().map(Action::Close);
        let silent = self.bodies.take_silent(now, timeouts.idle_ms);
        expired.chain(refusals(silent, Reason::Silent)).collect()
    }
}

fn refusals(bodies: Vec<BodyId>, reason: Reason) -> Vec<Action> {
    bodies.into_iter().map(|body| Action::Refuse(body, reason)).collect()
}
