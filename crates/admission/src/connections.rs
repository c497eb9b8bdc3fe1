//! Connections of callers while they are open.

use crate::limits::Limits;
use std::collections::BTreeMap;
use vanetally_types::Tick;

/// Identifies a connection of a caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ConnectionId(pub u64);

/// Time after which the system gives up what a caller has not taken.
const MAX_TAKING_MS: u64 = 4_000;

/// What a connection does; those that come first here give way first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Phase {
    /// Its request was refused before it was read; what still arrives is dropped.
    Draining,
    /// Nothing has arrived on it yet.
    Unused,
    /// The head of a request has begun.
    Head,
    /// It rests between two requests.
    Resting,
    /// It rests, and the system may still hold what its caller has not taken of the last answer.
    Taking,
    /// The body of a request is read.
    Reading,
    /// A request is served or answered.
    Busy,
}

impl Phase {
    /// Bytes that a request in this phase may take besides its body.
    fn request_bytes(self) -> usize {
        match self {
            Self::Draining | Self::Unused | Self::Head | Self::Resting => 0,
            Self::Taking | Self::Reading => Limits::BUFFER_BYTES,
            Self::Busy => Limits::REQUEST_BYTES,
        }
    }

    /// Whether there is a request.
    fn has_request(self) -> bool {
        matches!(self, Self::Reading | Self::Busy)
    }
}

#[derive(Clone, Copy, Debug)]
struct Connection {
    phase: Phase,
    /// Since when; for one that rests, since its last sign of life.
    since: Tick,
    /// Since when its caller has taken nothing of an answer that waits.
    blocked: Option<Tick>,
}

/// All open connections of callers.
#[derive(Debug, Default)]
pub(crate) struct Connections {
    open: BTreeMap<ConnectionId, Connection>,
    /// Bytes that their requests may take besides bodies.
    request_bytes: usize,
}

impl Connections {
    /// Number of connections.
    pub(crate) fn len(&self) -> usize {
        self.open.len()
    }

    /// Number of connections with a request that is served or answered.
    pub(crate) fn answering(&self) -> usize {
        self.open.values().filter(|connection| connection.phase == Phase::Busy).count()
    }

    /// Bytes that all connections and their requests take.
    pub(crate) fn bytes(&self) -> usize {
        self.open.len() * Limits::CONNECTION_BYTES + self.request_bytes
    }

    /// Adds a new connection.
    pub(crate) fn insert(&mut self, now: Tick, id: ConnectionId) {
        self.open.insert(id, Connection { phase: Phase::Unused, since: now, blocked: None });
    }

    /// Removes a connection.
    pub(crate) fn remove(&mut self, id: ConnectionId) {
        let removed = self.open.remove(&id);
        self.request_bytes -= removed.map_or(0, |removed| removed.phase.request_bytes());
    }

    /// Sets what a connection does from now on.
    pub(crate) fn set(&mut self, now: Tick, id: ConnectionId, phase: Phase) {
        let Some(connection) = self.open.get_mut(&id) else {
            return;
        };
        self.request_bytes -= connection.phase.request_bytes();
        self.request_bytes += phase.request_bytes();
        *connection = Connection { phase, since: now, blocked: None };
    }

    /// Records that the caller of a connection takes nothing of what waits for it.
    pub(crate) fn block(&mut self, now: Tick, id: ConnectionId) {
        if let Some(connection) = self.open.get_mut(&id) {
            connection.blocked.get_or_insert(now);
        }
    }

    /// Records that the caller of a connection took some of its answer.
    pub(crate) fn touch(&mut self, now: Tick, id: ConnectionId) {
        if let Some(connection) = self.open.get_mut(&id) {
            connection.blocked = None;
            if matches!(connection.phase, Phase::Resting | Phase::Taking) {
                connection.since = now;
            }
        }
    }

    /// Removes and returns the connection other than `id` that gives way first, if any does.
    pub(crate) fn take_victim(&mut self, id: ConnectionId) -> Option<ConnectionId> {
        let others = self
            .open
            .iter()
            .filter(|(other, connection)| **other != id && !connection.phase.has_request());
        let victim = others.min_by_key(|(_, connection)| (connection.phase, connection.since));
        let victim = victim.map(|(id, _)| *id)?;
        self.remove(victim);
        Some(victim)
    }

    /// Removes and returns the connection other than `id` whose caller has taken nothing of its answer for longest, if one
    /// has not for `min_ms`.
    pub(crate) fn take_blocked(
        &mut self,
        now: Tick,
        id: ConnectionId,
        min_ms: u64,
    ) -> Option<ConnectionId> {
        let others = self.open.iter().filter(|(other, _)| **other != id);
        let blocked = others.filter_map(|(id, connection)| Some((connection.blocked?, *id)));
        let (_, id) = blocked.filter(|(since, _)| now.since(*since) >= min_ms).min()?;
        self.remove(id);
        Some(id)
    }

    /// Removes and returns the connections that have had a phase for longer than `max_ms` says.
    pub(crate) fn take_expired(
        &mut self,
        now: Tick,
        max_ms: impl Fn(Phase) -> Option<u64>,
    ) -> Vec<ConnectionId> {
        let is_expired = |connection: &Connection| {
            max_ms(connection.phase).is_some_and(|max_ms| now.since(connection.since) > max_ms)
        };
        let expired = self.open.iter().filter(|(_, connection)| is_expired(connection));
        let expired: Vec<ConnectionId> = expired.map(|(id, _)| *id).collect();
        expired.iter().for_each(|id| self.remove(*id));
        expired
    }

    /// Lets connections rest whose answers the system has given up.
    pub(crate) fn end_taking(&mut self, now: Tick) {
        for connection in self.open.values_mut() {
            let is_over = now.since(connection.since) >= MAX_TAKING_MS;
            if connection.phase == Phase::Taking && is_over {
                self.request_bytes -= connection.phase.request_bytes();
                connection.phase = Phase::Resting;
            }
        }
    }

    /// Does not count a time in which the host stood still.
    pub(crate) fn shift(&mut self, ms: u64) {
        for connection in self.open.values_mut() {
            connection.since = connection.since + ms;
            connection.blocked = connection.blocked.map(|since| since + ms);
        }
    }
}
