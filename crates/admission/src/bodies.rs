//! Bodies of requests while a host holds them.

use crate::limits::Limits;
use std::{cmp::Reverse, collections::BTreeMap};
use vanetally_types::Tick;

/// Identifies a body that the host holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct BodyId(pub u64);

/// Part of what it holds that a body must receive to make progress, as a divisor. Without it, a few bytes a second
/// would keep a large body from giving way.
const PROGRESS_DIVISOR: usize = 32;
/// Time without progress after which a body gives way to any other.
const STALLED_MS: u64 = 1_000;

/// A body that the host holds.
#[derive(Clone, Copy, Debug)]
struct Body {
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
    pub(crate) fn begin(&mut self, now: Tick, id: BodyId) {
        let body = Body { held: 0, received: 0, progressed: now, heard: now, is_whole: false };
        self.held.insert(id, body);
    }

    /// Counts a complete body or answer of `bytes`.
    pub(crate) fn insert_whole(&mut self, now: Tick, id: BodyId, bytes: usize) {
        let body = Body { held: bytes, received: 0, progressed: now, heard: now, is_whole: true };
        self.held.insert(id, body);
        self.bytes += bytes;
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

    /// Records that all of a body has arrived.
    pub(crate) fn complete(&mut self, id: BodyId) {
        if let Some(body) = self.held.get_mut(&id) {
            body.is_whole = true;
        }
    }

    /// Removes a body.
    pub(crate) fn remove(&mut self, id: BodyId) {
        if let Some(body) = self.held.remove(&id) {
            self.bytes -= body.held;
        }
    }

    /// Lets a body hold `held` bytes in all. Returns the bodies that give way to it, which is the body itself if no other
    /// has to; they are removed.
    pub(crate) fn grow(
        &mut self,
        now: Tick,
        id: BodyId,
        held: usize,
        limits: &Limits,
    ) -> Vec<BodyId> {
        let Some(before) = self.held.get(&id).map(|body| body.held) else {
            return Vec::new();
        };
        let is_small = held <= Limits::SMALL_BODY_BYTES;
        let limit = if is_small { limits.bytes } else { limits.large_bytes };
        let more = held.saturating_sub(before);
        let mut removed = Vec::new();
        while self.bytes + more > limit {
            let victim = self.victim(now, id, held).unwrap_or(id);
            self.remove(victim);
            removed.push(victim);
            if victim == id {
                return removed;
            }
        }
        self.bytes += more;
        if let Some(body) = self.held.get_mut(&id) {
            body.held = before + more;
        }
        removed
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

    /// Removes and returns the body that makes least progress, if it makes none.
    pub(crate) fn take_stalled(&mut self, now: Tick) -> Option<BodyId> {
        let stalled = self
            .held
            .iter()
            .filter(|(_, body)| !body.is_whole && now.since(body.progressed) >= STALLED_MS);
        let id = stalled.min_by_key(|(_, body)| body.progressed).map(|(id, _)| *id)?;
        self.remove(id);
        Some(id)
    }

    /// Removes and returns the bodies of which nothing has arrived for `max_ms`.
    pub(crate) fn take_silent(&mut self, now: Tick, max_ms: u64) -> Vec<BodyId> {
        let silent =
            self.held.iter().filter(|(_, body)| !body.is_whole && now.since(body.heard) > max_ms);
        let silent: Vec<BodyId> = silent.map(|(id, _)| *id).collect();
        silent.iter().for_each(|id| self.remove(*id));
        silent
    }

    /// Does not count a time in which the host stood still.
    pub(crate) fn shift(&mut self, ms: u64) {
        for body in self.held.values_mut() {
            body.progressed = body.progressed + ms;
            body.heard = body.heard + ms;
        }
    }
}
