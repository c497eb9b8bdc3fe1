//! Connections of callers while they are open.

use std::collections::BTreeMap;
use vanetally_types::Tick;

/// Identifies a connection of a caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ConnectionId(pub u64);

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
    /// A request is read, served or answered.
    Busy,
}

#[derive(Clone, Copy, Debug)]
struct Connection {
    phase: Phase,
    /// Since when; for one that rests, since its last sign of life.
    since: Tick,
}

/// All open connections of callers.
#[derive(Debug, Default)]
pub(crate) struct Connections {
    open: BTreeMap<ConnectionId, Connection>,
}

impl Connections {
    /// Number of connections.
    pub(crate) fn len(&self) -> usize {
        self.open.len()
    }

    /// Adds a new connection.
    pub(crate) fn insert(&mut self, now: Tick, id: ConnectionId) {
        self.open.insert(id, Connection { phase: Phase::Unused, since: now });
    }

    /// Removes a connection.
    pub(crate) fn remove(&mut self, id: ConnectionId) {
        self.open.remove(&id);
    }

    /// Sets what a connection does from now on.
    pub(crate) fn set(&mut self, now: Tick, id: ConnectionId, phase: Phase) {
        if let Some(connection) = self.open.get_mut(&id) {
            *connection = Connection { phase, since: now };
        }
    }

    /// Records a sign of life of a connection that may rest.
    pub(crate) fn touch(&mut self, now: Tick, id: ConnectionId) {
        if let Some(connection) = self.open.get_mut(&id)
            && connection.phase == Phase::Resting
        {
            connection.since = now;
        }
    }

    /// Removes and returns the connection other than `id` that gives way first, if any does.
    pub(crate) fn take_victim(&mut self, id: ConnectionId) -> Option<ConnectionId> {
        let others = self
            .open
            .iter()
            .filter(|(other, connection)| **other != id && connection.phase != Phase::Busy);
        let victim = others.min_by_key(|(_, connection)| (connection.phase, connection.since));
        let victim = victim.map(|(id, _)| *id)?;
        self.remove(victim);
        Some(victim)
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

    /// Does not count a time in which the host stood still.
    pub(crate) fn shift(&mut self, ms: u64) {
        self.open.values_mut().for_each(|connection| connection.since = connection.since + ms);
    }
}
