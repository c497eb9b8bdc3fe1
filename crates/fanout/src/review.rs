//! What time brings: sources that fall silent or stale are left, those that come first in the order are asked.

use crate::{
    Action, Follow, Reason,
    candidate::{Parent, place},
    follow::{SILENT_MS, SUSPECT_MS},
    heard::{Asked, Heard, Search, State, is_unconfirmed},
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
/// Between two probes of the store, in milliseconds.
const PROBE_MS: u64 = 500;

impl Follow {
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
            return self.read_store(now, Reason::Nobody, actions);
        }
        if search.surveyed.is_none_or(|at| now.since(at) >= SURVEY_MS) {
            self.state = State::Starting(Search { surveyed: Some(now), ..search });
            actions.push(Action::Survey);
        }
    }

    /// How long this host looks for another one before it reads the store, in milliseconds.
    fn alone_ms(&self) -> u64 {
        let place = place(&self.me, &self.domain, self.usable(None));
        if place < FIRST_SHARE { FIRST_ALONE_MS } else { ALONE_MS + (place * SPREAD_MS) as u64 }
    }

    fn review_store(&mut self, now: Tick, is_stale: bool, actions: &mut Vec<Action>) {
        // Whoever can't read the store hears from one that can, if there is one.
        let me = self.me.clone();
        let but = is_stale.then_some(&me);
        if let Parent::Host(host) = self.parent(but)
            && !self.subscribers.contains(&host)
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
        if heard.is_stale(now) {
            self.pass_over_refused(now);
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

    /// The host that was asked in place of a stale source knows nothing newer, and had the time to read the store
    /// itself: it can't either.
    fn pass_over_refused(&mut self, now: Tick) {
        let refused =
            self.asked.take_if(|asked| asked.is_refused && asked.is_silent_since_refused(now));
        if let Some(asked) = refused {
            self.suspect(asked.host, now + SUSPECT_MS);
        }
    }

    fn replace_lost(&mut self, now: Tick, lost: Tick, actions: &mut Vec<Action>) {
        match self.parent(None) {
            Parent::Store => self.read_store(now, Reason::Silent, actions),
            Parent::Host(host) if self.subscribers.contains(&host) => {
                self.read_store(now, Reason::Silent, actions);
            }
            _ if now.since(lost) > self.alone_ms() => self.read_store(now, Reason::Nobody, actions),
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
