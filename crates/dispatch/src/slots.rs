//! Slots of plain upstreams that one host, the owner, grants to the requests of all hosts.

use crate::{
    Action, AttemptEnd, Dispatch, RequestId, Shortage, ShortageKind,
    choice::Choice,
    choose::shortage_of,
    request::{ActiveAttempt, Request, Reservation, Stage},
    upstream::Load,
};
use std::collections::BTreeMap;
use vanetally_ports::RefusalCause;
use vanetally_slots::{Rank, SlotAnswer, SlotEnd, SlotRequest};
use vanetally_types::{Incarnation, Name, Tick, hash64};

/// Urgency of a request for a slot: its rank, then whether it is late.
type Urgency = (Rank, bool);

/// What an owner said last about the slots of an upstream, by the urgency of the request that it
/// answered.
#[derive(Clone, Debug, Default)]
pub(crate) struct BusySlots {
    answers: BTreeMap<Urgency, BusyAnswer>,
}

#[derive(Clone, Copy, Debug)]
struct BusyAnswer {
    /// When a request of this urgency would get a slot.
    until: Tick,
    answered_at: Tick,
}

/// Share of the stated wait, as a divisor, in which requests are refused without asking the owner
/// again.
const REFUSE_DIVISOR: u64 = 2;
/// How long an upstream is passed over if its owner is silent and load reports show no free slot.
const SILENT_MS: u32 = 20;
/// Time after its deadline at which a request has certainly ended.
const HOLD_MARGIN_MS: u64 = 200;
/// A request that one owner denied asks another one only if the wait known there is shorter than
/// what it may wait by this factor: queues of equal length would all be asked in vain.
const DENIED_DIVISOR: u64 = 2;
/// `Retry-After` values are spread over this share of the wait, as a divisor, and at least over
/// [`MIN_SPREAD_MS`].
const SPREAD_DIVISOR: u64 = 2;
const MIN_SPREAD_MS: u64 = 20;

impl BusySlots {
    fn record(&mut self, now: Tick, urgency: Urgency, retry_ms: u32) {
        self.answers.retain(|_, answer| now < answer.until);
        let answer = BusyAnswer { until: now + u64::from(retry_ms), answered_at: now };
        self.answers.insert(urgency, answer);
    }

    /// Whether a request would have to wait.
    pub(crate) fn is_busy(&self, now: Tick, rank: Rank, is_late: bool) -> bool {
        self.wait(now, (rank, is_late)).is_some()
    }

    /// Returns how long a request would wait, if that is known, and whether the owner said so
    /// recently enough to refuse the request. More urgent requests may get a slot sooner.
    fn wait(&self, now: Tick, urgency: Urgency) -> Option<(u64, bool)> {
        let known = self.answers.range(..=urgency).map(|(_, answer)| answer);
        let last = known.max_by_key(|answer| answer.until)?;
        let wait_ms = last.until.since(now);
        let stated_ms = last.until.since(last.answered_at);
        let is_recent = now.since(last.answered_at) < stated_ms / REFUSE_DIVISOR;
        (wait_ms > 0).then_some((wait_ms, is_recent))
    }
}

/// The upstreams that could take a request.
#[derive(Default)]
struct Candidates {
    /// Upstreams that may have a free slot.
    free: usize,
    /// The one of the others that is available first.
    first: Option<Candidate>,
    /// Whether an owner stated such a wait recently enough to refuse a request.
    is_recent: bool,
}

/// An upstream without a free slot.
struct Candidate {
    upstream: Incarnation,
    /// Milliseconds until it is available.
    wait_ms: u64,
    kind: ShortageKind,
}

impl Dispatch {
    /// Whether owners grant the slots of a service: it is brittle, or it is a plain one and its
    /// upstreams have fewer slots than there are hosts.
    pub(crate) fn grants_slots(&self, service: &Name) -> bool {
        if self.brittleness.max_rejections(service).is_some() {
            return true;
        }
        if !self.options.slot_grants || self.is_engine(service) {
            return false;
        }
        let upstreams = self.known_upstreams(self.directory.upstreams_of(service));
        let slots: u64 = upstreams.map(|(_, upstream)| u64::from(upstream.state.slots)).sum();
        slots < self.hosts as u64
    }

    /// Returns the requests that run at an upstream, by the load reports.
    pub fn running(&self, now: Tick, upstream: &Incarnation) -> u32 {
        self.upstreams.get(upstream).map_or(0, |known| known.total(now).running)
    }

    /// Asks the owner of the chosen upstream for a slot.
    ///
    /// The request is no load of the upstream meanwhile: owners and other hosts would count it
    /// among those that run.
    pub(crate) fn acquire_slot(
        &mut self,
        now: Tick,
        id: RequestId,
        choice: Choice,
    ) -> Option<Action> {
        let request = self.requests.get(&id)?;
        let is_only = self.slot_candidates(now, request).free <= 1;
        let wait_ms = if is_only { self.useful_wait_ms(now, request) } else { 0 };
        let slot_request = SlotRequest {
            upstream: choice.upstream.clone(),
            slots: self.upstreams.get(&choice.upstream)?.state.slots,
            rank: request.rank(),
            wait_ms: u32::try_from(wait_ms).unwrap_or(u32::MAX),
            is_late: request.is_late_after(now, self.answer_ms(&request.service)),
            hold_ms: u32::try_from(request.deadline.since(now) + HOLD_MARGIN_MS)
                .unwrap_or(u32::MAX),
            brittle: self.brittleness.max_rejections(&request.service),
        };
        let request = self.requests.get_mut(&id)?;
        self.queue.remove(id, request);
        request.reservations += 1;
        let reservation = request.reservations;
        let load = Load::default();
        request.stage =
            Stage::Reserving(Reservation { reservation, choice, load, awaits_slot: true });
        Some(Action::AcquireSlot { id, reservation, request: slot_request })
    }

    /// Handles a request for which no upstream has a free slot: it waits at the one that has a slot
    /// first, or is refused at once if that is too late.
    pub(crate) fn await_slot(&mut self, now: Tick, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let Candidates { first, is_recent, .. } = self.slot_candidates(now, request);
        let Some(Candidate { upstream, wait_ms, kind }) = first else {
            return;
        };
        let useful_ms = self.useful_wait_ms(now, request);
        let max_ms = if request.is_slot_denied { useful_ms / DENIED_DIVISOR } else { useful_ms };
        if is_recent && wait_ms > max_ms {
            let holders = self.directory.upstreams_of(&request.service).count() as u32;
            let retry_ms = wait_ms + spread_ms(&request.head.id, wait_ms);
            let shortage = Shortage { kind, holders };
            return self.refuse_at_once(
                id,
                shortage,
                RefusalCause::Overloaded,
                Some(retry_ms),
                actions,
            );
        }
        if kind == ShortageKind::Slot {
            actions.extend(self.acquire_slot(now, id, Choice::of_slot(upstream)));
        }
    }

    /// Handles the owner's answer; `None` if it did not answer. The next owner is asked then, and if
    /// that one is silent, too, load reports decide.
    pub(crate) fn slot_answered(
        &mut self,
        now: Tick,
        (id, reservation): (RequestId, u32),
        answer: Option<SlotAnswer>,
        actions: &mut Vec<Action>,
    ) {
        if matches!(answer, Some(SlotAnswer::Queued { .. })) {
            return;
        }
        let end = SlotEnd::Unused;
        let unused = (answer == Some(SlotAnswer::Granted)).then_some(Action::ReleaseSlot {
            id,
            reservation,
            end,
        });
        let Some(choice) = self.close_reservation(id, reservation) else {
            return actions.extend(unused);
        };
        let Some(upstream) = self.upstreams.get(&choice.upstream) else {
            return actions.extend(unused);
        };
        let is_blocked = upstream.cooldown.blocked_ms(now).is_some();
        let is_open =
            upstream.accepts_new(now) && !is_blocked && upstream.rate_limit(now).is_none();
        // No load report is new enough for a brittle upstream.
        let may_guess = self
            .service_of(id)
            .is_none_or(|service| self.brittleness.max_rejections(&service).is_none());
        match answer {
            Some(SlotAnswer::Granted) if is_open => {
                let delay_ms = choice.send_at.map_or(0, |at| at.since(now) as u32);
                actions.extend(self.send(now, id, choice, delay_ms));
                self.hold_slot(id, reservation);
            }
            Some(SlotAnswer::Busy { retry_ms }) => {
                self.record_busy(now, id, &choice.upstream, retry_ms);
            }
            Some(_) => actions.extend(unused),
            None => {
                let has_room = may_guess && upstream.total(now).running < upstream.state.slots;
                let is_second = self.record_silent_owner(id) > 1;
                if is_second && is_open && has_room {
                    actions.extend(self.send(now, id, choice, 0));
                } else if is_second {
                    self.record_busy(now, id, &choice.upstream, SILENT_MS);
                }
            }
        }
    }

    fn service_of(&self, id: RequestId) -> Option<Name> {
        self.requests.get(&id).map(|request| request.service.clone())
    }

    fn record_busy(&mut self, now: Tick, id: RequestId, upstream: &Incarnation, retry_ms: u32) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        self.brittleness.record_crowded(now, &request.service);
        let urgency = self.urgency(now, request);
        let is_denied = u64::from(retry_ms) > self.useful_wait_ms(now, request);
        if let Some(request) = self.requests.get_mut(&id) {
            request.is_slot_denied |= is_denied;
        }
        if let Some(upstream) = self.upstreams.get_mut(upstream) {
            upstream.busy_slots.record(now, urgency, retry_ms);
        }
    }

    /// Returns the number of owners that did not answer this request.
    fn record_silent_owner(&mut self, id: RequestId) -> u32 {
        let Some(request) = self.requests.get_mut(&id) else {
            return 0;
        };
        request.silent_owners += 1;
        request.silent_owners
    }

    /// Releases the slot of a request that ends, if it has one or waits for one.
    pub(crate) fn release_slot(&mut self, id: RequestId, stage: &Stage) {
        let (reservation, end) = match stage {
            Stage::Reserving(open) if open.awaits_slot => (open.reservation, SlotEnd::Unused),
            Stage::Sent(ActiveAttempt { slot: Some(reservation), .. }) => {
                (*reservation, SlotEnd::Used)
            }
            _ => return,
        };
        self.releases.push(Action::ReleaseSlot { id, reservation, end });
    }

    fn hold_slot(&mut self, id: RequestId, reservation: u32) {
        let request = self.requests.get_mut(&id);
        if let Some(Stage::Sent(attempt)) = request.map(|request| &mut request.stage) {
            attempt.slot = Some(reservation);
        }
    }

    fn slot_candidates(&self, now: Tick, request: &Request) -> Candidates {
        let input = self.choice_input(now, &request.service);
        let mut candidates = Candidates::default();
        let known = self.fitting_upstreams(request);
        for (id, upstream) in known.filter(|(_, upstream)| upstream.accepts_new(now)) {
            let kind = shortage_of(&input, request, id, upstream, 0);
            let wait = match kind {
                None => {
                    candidates.free += usize::from(upstream.health.is_open(now));
                    continue;
                }
                Some(ShortageKind::Slot) => {
                    upstream.busy_slots.wait(now, self.urgency(now, request))
                }
                // An upstream that could not be reached may be back at any time.
                Some(ShortageKind::TurnedAway) => {
                    Some((upstream.full_until.since(now), upstream.consecutive_rejections > 0))
                }
                Some(_) => None,
            };
            let Some(((wait_ms, is_recent), kind)) = wait.zip(kind) else {
                continue;
            };
            candidates.is_recent |= is_recent;
            if candidates.first.as_ref().is_none_or(|first| wait_ms < first.wait_ms) {
                let upstream = id.clone();
                candidates.first = Some(Candidate { upstream, wait_ms, kind });
            }
        }
        candidates
    }

    /// Returns how long a request may wait for a slot: until its answer would be late, or, if it is
    /// late already, as long as it may wait at all.
    fn useful_wait_ms(&self, now: Tick, request: &Request) -> u64 {
        let spent_ms = now.since(request.arrived) + self.answer_ms(&request.service);
        let left_ms = request.remaining_wait_ms(now);
        match request.route.target_ms.checked_sub(spent_ms) {
            Some(until_late_ms) => left_ms.min(until_late_ms),
            None => left_ms,
        }
    }

    /// Returns the urgency of a request, by which owners order those that wait.
    fn urgency(&self, now: Tick, request: &Request) -> Urgency {
        (request.rank(), request.is_late_after(now, self.answer_ms(&request.service)))
    }
}

impl ActiveAttempt {
    /// Returns the release of the attempt's slot, if it has one.
    pub(crate) fn slot_release(&self, id: RequestId, end: AttemptEnd) -> Option<Action> {
        let end = match end {
            AttemptEnd::Full => SlotEnd::Full,
            AttemptEnd::Lost => SlotEnd::Lost,
            _ if end.is_unsent() => SlotEnd::Unused,
            _ => SlotEnd::Used,
        };
        self.slot.map(|reservation| Action::ReleaseSlot { id, reservation, end })
    }
}

/// Returns a part of the wait that differs between requests.
fn spread_ms(request: &Name, wait_ms: u64) -> u64 {
    hash64(request.as_bytes()) % (wait_ms / SPREAD_DIVISOR).max(MIN_SPREAD_MS)
}
