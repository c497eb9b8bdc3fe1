//! What time brings: sources that fall silent or stale are left, those that come first in the order are asked.

use crate::{
    Action, Reason, SourceSelector,
    candidate::{Parent, place},
    source_selector::{OFFER_MS, SILENT_MS, SUSPECT_MS},
    source_state::{Asked, Heard, Looks, Search, State, is_unconfirmed},
};
use vanetally_types::{Name, Tick};

/// A subscription that brought nothing is asked for again after this long, in milliseconds, and after
/// twice as long each time: its answer is large, and may be on its way on a slow link.
const ASK_MS: u64 = 500;
/// Most doublings.
const MOST_DOUBLINGS: u32 = 4;
/// Without a source for this long the first hosts in the order read the store, in milliseconds.
const FIRST_ALONE_MS: u64 = 450;
/// Share of the hosts of a failure domain that count as first.
const FIRST_SHARE: f64 = 0.05;
/// The same for the others, and how much longer the last one looks: by then they have found one of those
/// that read it. Together with `SILENT_MS` this stays below two seconds, the shortest time that deployments
/// allow for a change to be followed.
const ALONE_MS: u64 = 900;
const SPREAD_MS: f64 = 400.0;
/// Between two readings of the list of hosts, in milliseconds.
const SURVEY_MS: u64 = 200;
/// A host whose source is stale waits this long for those before it in the order, in milliseconds: one of them has
/// found that the store answers it within a fifth of a second, one more costs as much again.
const STALE_ALONE_MS: u64 = 400;
/// The same for the last of a failure domain, beyond that: what one host finds, the others hear within 30 ms, so that
/// few look in vain. All of this lies within a third of three seconds, the shortest time that deployments of so
/// many hosts allow for a change.
const STALE_SPREAD_MS: f64 = 500.0;
/// Between two looks of a host by itself, in milliseconds, half as long for the first of a failure domain and half as much
/// again for the last: those that look at the same moment when the store returns would all read it. While the store is
/// away for all, 370 hosts look 74 times a second, fewer times than they renew their leases (123).
const LOOK_MS: u64 = 6_000;
/// When the store returns for all, the words of the host that reads it are with all others after this long, in
/// milliseconds: three hops, a tenth of a second each.
const RETURN_MS: u64 = 400;
/// Between two probes of the store, in milliseconds.
const PROBE_MS: u64 = 500;

impl SourceSelector {
    pub(crate) fn tick(&mut self, now: Tick, actions: &mut Vec<Action>) {
        let suspects = self.suspects.len();
        self.suspects.retain(|_, until| now < *until);
        if self.suspects.len() < suspects {
            self.parents.clear();
        }
        match self.state.clone() {
            State::Starting(search) => self.start(now, search, actions),
            _ if now < self.respite => {}
            State::Store { since, confirmed } => {
                let is_stale = is_unconfirmed(now, since, confirmed);
                self.review_store(now, is_stale, actions);
            }
            State::Host(heard) => self.review_host(now, heard, actions),
        }
    }

    fn start(&mut self, now: Tick, search: Search, actions: &mut Vec<Action>) {
        let is_list_whole = self.is_fleet() || now >= search.settled;
        if !self.candidates.is_empty() && is_list_whole {
            match self.parent(None) {
                Parent::Store => return self.read_store(now, Reason::Order, actions),
                Parent::Host(host) => self.ask_next(now, host, actions),
            }
        }
        if now.since(search.since) > self.alone_ms() {
            return self.read_store(now, Reason::NoAnswer, actions);
        }
        if search.surveyed.is_none_or(|at| now.since(at) >= SURVEY_MS) {
            self.state = State::Starting(Search { surveyed: Some(now), ..search });
            actions.push(Action::ListHosts);
        }
    }

    /// How long this host looks for another one before it reads the store, in milliseconds.
    fn alone_ms(&self) -> u64 {
        let place = place(&self.me, &self.domain, self.usable(None));
        if place < FIRST_SHARE { FIRST_ALONE_MS } else { ALONE_MS + (place * SPREAD_MS) as u64 }
    }

    fn review_store(&mut self, now: Tick, is_stale: bool, actions: &mut Vec<Action>) {
        // Whoever can't read the store hears from one that can, if there is one.
        if is_stale {
            self.pass_over(now);
            if self.is_alone(now) && self.take_offer(now, actions) {
                return;
            }
        }
        let me = self.me.clone();
        let but = is_stale.then_some(&me);
        // One that asked to hear from this host may have found another: its way tells.
        if let Parent::Host(host) = self.parent(but)
            && (is_stale || !self.subscribers.contains(&host))
        {
            self.ask(now, host, actions);
        }
    }

    fn review_host(&mut self, now: Tick, heard: Heard, actions: &mut Vec<Action>) {
        if heard.lost.is_none() && now.since(heard.at) > SILENT_MS {
            self.suspect(heard.host.clone(), now + SUSPECT_MS);
            self.asked.take_if(|asked| asked.host == heard.host);
            self.state = State::Host(Heard { lost: Some(now), ..heard });
            return self.tick(now, actions);
        }
        if let Some(lost) = heard.lost {
            return self.replace_lost(now, lost, actions);
        }
        if !heard.is_stale(now) {
            self.looks = Looks::default();
        } else {
            self.pass_over(now);
            if self.is_alone(now) && self.help_itself(now, &heard.host, actions) {
                return;
            }
        }
        let but = heard.is_stale(now).then_some(&heard.host);
        match self.parent(but) {
            Parent::Host(host) if host == heard.host => {}
            Parent::Host(host) if !self.subscribers.contains(&host) => {
                self.ask(now, host, actions);
            }
            // Before it is read, the store has to show that it answers this host.
            Parent::Host(_) | Parent::Store => self.probe(now, actions),
        }
    }

    /// Turns to a host that has said that it knows what is new, or to the store; tells whether it did.
    fn help_itself(&mut self, now: Tick, stale: &Name, actions: &mut Vec<Action>) -> bool {
        if self.take_offer(now, actions) {
            return true;
        }
        if self.looks.answered.is_some_and(|at| now.since(at) >= RETURN_MS) {
            self.must_announce = true;
            self.read_instead(now, Some(stale.clone()), actions);
            return true;
        }
        self.look(now, actions);
        false
    }

    /// The host that was asked in place of a stale source says nothing; or it knows nothing newer, and had the time to
    /// read the store itself: it can't either.
    fn pass_over(&mut self, now: Tick) {
        let is_no_help = |asked: &mut Asked| match asked.is_refused {
            true => asked.is_silent_since_refused(now),
            false => asked.is_silent(now),
        };
        if let Some(asked) = self.asked.take_if(is_no_help) {
            self.suspect(asked.host, now + SUSPECT_MS);
        }
    }

    /// Whether what this host knows has been stale for so long that it no longer waits for those before it in the
    /// order.
    pub(crate) fn is_alone(&self, now: Tick) -> bool {
        let place = || place(&self.me, &self.domain, self.usable(None));
        self.stale_ms(now).is_some_and(|ms| {
            ms >= STALE_ALONE_MS && ms >= STALE_ALONE_MS + (place() * STALE_SPREAD_MS) as u64
        })
    }

    /// Turns to a host that said unasked that it knows what is new; tells whether there is one.
    fn take_offer(&mut self, now: Tick, actions: &mut Vec<Action>) -> bool {
        self.offer.take_if(|(_, at)| now.since(*at) > OFFER_MS);
        let Some((host, _)) = self.offer.clone() else {
            return false;
        };
        self.ask(now, host, actions);
        true
    }

    /// Sees whether the store answers this host, whoever comes next in the order.
    fn look(&mut self, now: Tick, actions: &mut Vec<Action>) {
        let place = place(&self.me, &self.domain, self.usable(None));
        let interval_ms = LOOK_MS / 2 + (place * LOOK_MS as f64) as u64;
        if self.looks.at.is_none_or(|at| now.since(at) >= interval_ms) {
            self.looks.at = Some(now);
            self.looks.count += 1;
            actions.push(Action::Probe);
        }
    }

    fn replace_lost(&mut self, now: Tick, lost: Tick, actions: &mut Vec<Action>) {
        match self.parent(None) {
            Parent::Store => self.read_store(now, Reason::Silent, actions),
            Parent::Host(host) if self.subscribers.contains(&host) => {
                self.read_store(now, Reason::Silent, actions);
            }
            _ if now.since(lost) > self.alone_ms() => {
                self.read_store(now, Reason::NoAnswer, actions)
            }
            Parent::Host(host) => self.ask_next(now, host, actions),
        }
    }

    fn probe(&mut self, now: Tick, actions: &mut Vec<Action>) {
        if self.probed.is_none_or(|at| now.since(at) >= PROBE_MS) {
            self.probed = Some(now);
            actions.push(Action::Probe);
        }
    }

    /// Asks `host`, and the next one if it did not answer: there is no source to wait with.
    fn ask_next(&mut self, now: Tick, host: Name, actions: &mut Vec<Action>) {
        let silent = self.asked.take_if(|asked| asked.is_silent(now));
        let Some(silent) = silent else {
            return self.ask(now, host, actions);
        };
        // Where all start at once, it may not have listened yet.
        let is_starting = matches!(self.state, State::Starting(_));
        if is_starting && silent.repeats == 0 && silent.host == host {
            self.asked = Some(Asked { repeats: 1, ..Asked::new(now, host.clone()) });
            return actions.push(Action::Subscribe(host));
        }
        self.suspect(silent.host, now + SUSPECT_MS);
        if let Parent::Host(next) = self.parent(None) {
            self.ask(now, next, actions);
        }
    }

    pub(crate) fn ask(&mut self, now: Tick, host: Name, actions: &mut Vec<Action>) {
        let earlier = self.asked.as_ref().filter(|asked| asked.host == host);
        let is_recent =
            |asked: &&Asked| now.since(asked.at) < ASK_MS << asked.repeats.min(MOST_DOUBLINGS);
        if earlier.filter(is_recent).is_some() {
            return;
        }
        let repeats = earlier.map_or(0, |asked| asked.repeats + 1);
        self.asked = Some(Asked { repeats, ..Asked::new(now, host.clone()) });
        actions.push(Action::Subscribe(host));
    }
}
