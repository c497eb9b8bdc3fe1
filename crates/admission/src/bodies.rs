//! Bodies of requests while a host holds them.

use crate::{connections::ConnectionId, limits::Limits};
use std::{cmp::Reverse, collections::BTreeMap};
use vanetally_types::Tick;

/// Identifies a body that the host holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct BodyId(pub u64);

/// Part of what it holds that a body must receive to make progress, as a divisor. Without it, a few bytes a second
/// would keep a large body from giving way.
const PROGRESS_DIVISOR: usize = 32;
/// Time without progress after which a body gives way to any other.
pub(crate) const STALLED_MS: u64 = 1_000;

/// A body that the host holds.
#[derive(Clone, Copy, Debug)]
struct Body {
    /// The connection that it arrives on; `None` for an answer.
    connection: Option<ConnectionId>,
    /// Bytes that are allocated for it.
    held: usize,
    /// Bytes received since its last progress.
    received: usize,
    /// When it last made progress.
    progressed: Tick,
    /// When its last byte arrived.
    heard: Tick,
    /// Whether all of it has arrived.
    is_whole: bool,
}

/// All bodies that the host holds.
#[derive(Debug, Default)]
pub(crate) struct Bodies {
    held: BTreeMap<BodyId, Body>,
    bytes: usize,
    /// The body that may hold more than the share of large ones, since it came when it had that share for itself.
    oversized: Option<BodyId>,
}

impl Bodies {
    /// Number of bodies.
    pub(crate) fn len(&self) -> usize {
        self.held.len()
    }

    /// Bytes that all bodies hold together.
    pub(crate) fn bytes(&self) -> usize {
        self.bytes
    }

    /// Begins a body that holds nothing yet.
    pub(crate) fn begin(&mut self, now: Tick, id: BodyId, connection: ConnectionId) {
        let connection = Some(connection);
        let body =
            Body { connection, held: 0, received: 0, progressed: now, heard: now, is_whole: false };
        self.held.insert(id, body);
    }

    /// Counts `bytes` of an answer in all. It never gives way.
    pub(crate) fn hold_answer(&mut self, now: Tick, id: BodyId, bytes: usize) {
        let connection = None;
        let answer =
            Body { connection, held: 0, received: 0, progressed: now, heard: now, is_whole: true };
        let answer = self.held.entry(id).or_insert(answer);
        self.bytes = self.bytes - answer.held + bytes;
        answer.held = bytes;
    }

    /// Records that `bytes` of a body arrived.
    pub(crate) fn receive(&mut self, now: Tick, id: BodyId, bytes: usize) {
        let Some(body) = self.held.get_mut(&id) else {
            return;
        };
        body.heard = now;
        body.received += bytes;
        if body.received >= (body.held / PROGRESS_DIVISOR).max(1) {
            body.received = 0;
            body.progressed = now;
        }
    }

    /// Records that all of a body has arrived; returns its connection.
    pub(crate) fn complete(&mut self, id: BodyId) -> Option<ConnectionId> {
        let body = self.held.get_mut(&id)?;
        body.is_whole = true;
        body.connection
    }

    /// Removes a body or an answer; returns the connection that a body arrives on.
    pub(crate) fn remove(&mut self, id: BodyId) -> Option<ConnectionId> {
        self.oversized = self.oversized.filter(|oversized| *oversized != id);
        let body = self.held.remove(&id)?;
        self.bytes -= body.held;
        body.connection
    }

    /// Lets a body hold `held` bytes in all, if all bodies stay within `room`. Otherwise returns the body that has to give way
    /// first, which is the body itself if no other has to.
    pub(crate) fn grow(
        &mut self,
        now: Tick,
        id: BodyId,
        held: usize,
        limits: &Limits,
        room: usize,
    ) -> Option<BodyId> {
        let before = self.held.get(&id)?.held;
        let more = held.saturating_sub(before);
        if !self.fits(id, held, more, limits, room) {
            return Some(self.victim(now, id, held).unwrap_or(id));
        }
        self.bytes += more;
        if let Some(body) = self.held.get_mut(&id) {
            body.held = before + more;
        }
        if before + more > limits.large_bytes {
            self.oversized = Some(id);
        }
        None
    }

    /// Whether `more` bytes of the body `id`, which is to hold `held`, fit beside all others.
    fn fits(&self, id: BodyId, held: usize, more: usize, limits: &Limits, room: usize) -> bool {
        let bytes = self.bytes + more;
        let is_alone = bytes - held <= limits.small_bytes();
        let share = match held <= Limits::SMALL_BODY_BYTES {
            true => limits.bytes,
            false if is_alone => room,
            false => limits.large_bytes,
        };
        let oversized = self.oversized.filter(|oversized| *oversized != id);
        let oversized = oversized.and_then(|oversized| self.held.get(&oversized));
        let excess = oversized.map_or(0, |body| body.held.saturating_sub(limits.large_bytes));
        bytes - excess <= share && bytes <= room
    }

    /// Returns the body that gives way to the body `id`, which is to hold `held` bytes.
    fn victim(&self, now: Tick, id: BodyId, held: usize) -> Option<BodyId> {
        let others = || {
            let others = self.held.iter().filter(|(other, body)| **other != id && !body.is_whole);
            others.filter(|(_, body)| body.held > 0)
        };
        let is_stalled = |body: &Body| now.since(body.progressed) >= STALLED_MS;
        let stalled = others().filter(|(_, body)| is_stalled(body));
        let stalled = stalled.min_by_key(|(_, body)| (body.progressed, Reverse(body.held)));
        let largest = || others().filter(|(_, body)| body.held > held).max_by_key(|(_, b)| b.held);
        stalled.or_else(largest).map(|(id, _)| *id)
    }

    /// Returns the body that makes least progress, if it makes none.
    pub(crate) fn stalled(&self, now: Tick) -> Option<BodyId> {
        let stalled = self
            .held
            .iter()
            .filter(|(_, body)| !body.is_whole && now.since(body.progressed) >= STALLED_MS);
        stalled.min_by_key(|(_, body)| body.progressed).map(|(id, _)| *id)
    }

    /// Returns the bodies of which nothing has arrived for `max_ms`.
    pub(crate) fn silent(&self, now: Tick, max_ms: u64) -> Vec<BodyId> {
        let silent =
            self.held.iter().filter(|(_, body)| !body.is_whole && now.since(body.heard) > max_ms);
        silent.map(|(id, _)| *id).collect()
    }

    /// Does not count a time in which the host stood still.
    pub(crate) fn shift(&mut self, ms: u64) {
        for body in self.held.values_mut() {
            body.progressed = body.progressed + ms;
            body.heard = body.heard + ms;
        }
    }
}
