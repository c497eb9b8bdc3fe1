//! What hosts learn of each other and of the store: messages, statuses, watches.

use super::*;

impl Start {
    pub(super) fn feed_read(&mut self, number: usize, feed: usize) {
        if self.hosts[number].selector.source() != Source::Store {
            return;
        }
        if feed + 1 < FEEDS {
            self.call(number, Call::ReadFeed(feed + 1));
        }
        if feed + 2 == FEEDS {
            self.hosts[number].confirmed = Some(self.now);
            self.learn(number, self.listed.len(), true);
        }
        if feed + 1 == FEEDS {
            self.configured(number);
        }
    }

    /// Records that a host knows the first `listed` hosts, and tells its subscribers.
    pub(super) fn learn(&mut self, number: usize, listed: usize, is_first: bool) {
        let known = self.hosts[number].listed;
        if known.is_some_and(|known| known >= listed) {
            return;
        }
        self.hosts[number].listed = Some(listed);
        if is_first || known.is_none() {
            self.derive(number);
            let (age_ms, path) = (self.age_ms(number), self.hosts[number].selector.path());
            self.send_subscribers(number, &Message::Sync { age_ms, path, listed });
        } else {
            self.send_subscribers(number, &Message::Changes { listed });
        }
    }

    pub(super) fn derive(&mut self, number: usize) {
        let host = &mut self.hosts[number];
        if host.listed == host.derived || self.now < host.next_derive {
            return;
        }
        let listed = host.listed.unwrap();
        host.derived = host.listed;
        host.next_derive = self.now + (listed / HOSTS_PER_PAUSE_MS) as u64;
        let candidates = self.candidates(listed);
        self.notify(number, Event::Candidates(candidates));
    }

    pub(super) fn configured(&mut self, number: usize) {
        let host = &mut self.hosts[number];
        if !host.is_configured {
            host.is_configured = true;
            host.configured_ms = Some(self.now - host.spawned);
            let status = self.status(number);
            self.send_subscribers(number, &status);
        }
    }

    pub(super) fn status(&self, number: usize) -> Message {
        let host = &self.hosts[number];
        Message::Status {
            age_ms: self.age_ms(number),
            path: host.selector.path(),
            is_configured: host.is_configured,
        }
    }

    pub(super) fn age_ms(&self, number: usize) -> Option<u64> {
        self.hosts[number].confirmed.map(|at| self.now - at)
    }

    pub(super) fn send_subscribers(&mut self, number: usize, message: &Message) {
        let subscribers: Vec<usize> =
            self.hosts[number].subscribers.keys().map(|name| self.numbers[name]).collect();
        subscribers.into_iter().for_each(|to| self.send(number, to, message.clone()));
    }

    /// Sends a message. A new link costs both ends time, which a weak host spends on one link after the other.
    pub(super) fn send(&mut self, from: usize, to: usize, message: Message) {
        let is_new = self.hosts[to].links.insert(from);
        let cost_us = if is_new { LINK_US * 100 / u64::from(Self::capacity(to)) } else { 0 };
        let arrives_us = (self.now + TRANSIT_MS) * 1_000;
        let host = &mut self.hosts[to];
        host.busy_until_us = host.busy_until_us.max(arrives_us) + cost_us;
        let at = host.busy_until_us / 1_000;
        // What is sent to a process that has not started arrives once it has.
        let at = at.max(host.spawned);
        self.at(at, to, Happening::Message(from, message));
    }

    pub(super) fn receive(&mut self, number: usize, from: usize, message: Message) {
        let name = self.names[from].clone();
        let is_source =
            |start: &Self| start.hosts[number].selector.source() == Source::Host(name.clone());
        match message {
            Message::Subscribe => {
                let status = self.status(number);
                self.send(number, from, status.clone());
                self.hosts[number].subscribers.insert(name, self.now);
                self.update_subscribers(number);
                if let (Some(listed), Some(_)) = (self.hosts[number].listed, self.age_ms(number)) {
                    let (age_ms, path) = (self.age_ms(number), self.hosts[number].selector.path());
                    self.send(number, from, Message::Sync { age_ms, path, listed });
                    self.send(number, from, status);
                }
            }
            Message::Unsubscribe => {
                self.hosts[number].subscribers.remove(&name);
                self.update_subscribers(number);
            }
            Message::Keep => {
                self.hosts[number].subscribers.insert(name, self.now);
                self.update_subscribers(number);
            }
            Message::Status { age_ms, path, is_configured } => {
                if is_source(self) {
                    let confirmed = age_ms.map(|age| self.now - age);
                    let host = &mut self.hosts[number];
                    host.confirmed = host.confirmed.max(confirmed);
                    if is_configured
                        && !host.is_configured
                        && !std::mem::replace(&mut host.has_asked, true)
                    {
                        self.send(number, from, Message::AskConfiguration);
                    }
                }
                self.notify(number, Event::Path { from: name.clone(), path });
                self.notify(number, Event::Status { from: name, age_ms, is_leaving: false });
            }
            Message::Sync { age_ms, path, listed } => {
                self.notify(number, Event::Path { from: name.clone(), path });
                let is_first = self.hosts[number].confirmed.is_none();
                self.hosts[number].confirmed =
                    self.hosts[number].confirmed.max(age_ms.map(|age| self.now - age));
                self.learn(number, listed, is_first);
                self.notify(number, Event::Synced { from: name, age_ms });
            }
            Message::Changes { listed } => {
                if is_source(self) {
                    self.learn(number, listed, false);
                }
            }
            Message::AskConfiguration if self.hosts[number].is_configured => {
                self.send(number, from, Message::Configuration);
            }
            Message::AskConfiguration => {}
            Message::Configuration => self.configured(number),
        }
    }

    pub(super) fn update_subscribers(&mut self, number: usize) {
        let subscribers = self.hosts[number].subscribers.keys().cloned().collect();
        self.notify(number, Event::Subscribers(subscribers));
    }

    pub(super) fn tick(&mut self, number: usize) {
        self.at(self.now + TICK_MS, number, Happening::Tick);
        if self.hosts[number].listed.is_some() {
            self.derive(number);
        }
        if self.hosts[number].selector.source() == Source::Store {
            self.watch(number);
            let age_ms = self.age_ms(number);
            self.notify(number, Event::StoreConfirmed(age_ms));
            let has_dependents = self.hosts[number].selector.is_fleet();
            if self.hosts[number].contact.should_probe(Tick(self.now), has_dependents) {
                self.call(number, Call::Probe);
            }
        }
        self.notify(number, Event::Tick);
        if self.now >= self.hosts[number].next_status {
            self.send_status(number);
        }
    }

    pub(super) fn send_status(&mut self, number: usize) {
        let interval_ms = self.hosts[number].selector.interval_ms(Self::capacity(number));
        self.hosts[number].next_status = self.now + interval_ms;
        let now = self.now;
        let subscribers = self.hosts[number].subscribers.len();
        self.hosts[number].subscribers.retain(|_, at| now - *at <= SUBSCRIBER_TIMEOUT_MS);
        if self.hosts[number].subscribers.len() < subscribers {
            self.update_subscribers(number);
        }
        let status = self.status(number);
        self.send_subscribers(number, &status);
        if let Source::Host(source) = self.hosts[number].selector.source() {
            self.send(number, self.numbers[&source], Message::Keep);
        }
    }

    /// Follows the store's keys: a watch is answered once a host key was written, or at its end.
    pub(super) fn watch(&mut self, number: usize) {
        let host = &mut self.hosts[number];
        if !host.is_configured || host.confirmed.is_none() {
            return;
        }
        host.confirmed = Some(self.now);
        let is_changed = host.listed.is_some_and(|known| known < self.listed.len());
        if host.is_watch_pending && (is_changed || self.now >= host.next_watch) {
            host.is_watch_pending = false;
            host.next_watch = self.now + if is_changed { BATCH_MS } else { 0 };
            self.learn(number, self.listed.len(), false);
        }
        let host = &mut self.hosts[number];
        if !host.is_watch_pending && self.now >= host.next_watch {
            host.is_watch_pending = true;
            host.next_watch = self.now + WATCH_MS;
            self.call(number, Call::Watch);
        }
    }

    /// Passes an event to the source selection of a host and carries out the actions.
    pub(super) fn notify(&mut self, number: usize, event: Event) {
        let actions = self.hosts[number].selector.handle(Tick(self.now), event);
        for action in actions {
            match action {
                Action::Subscribe(to) => self.send(number, self.numbers[&to], Message::Subscribe),
                Action::Unsubscribe(to) => {
                    self.send(number, self.numbers[&to], Message::Unsubscribe)
                }
                Action::FindSource
                    if !std::mem::replace(&mut self.hosts[number].is_searching, true) =>
                {
                    let step = self.hosts[number].search.begin();
                    self.step(number, step);
                }
                Action::FindSource | Action::Announce => {}
                Action::Probe => self.call(number, Call::Probe),
                Action::Switch { to, .. } => self.switched(number, &to),
            }
        }
    }

    pub(super) fn switched(&mut self, number: usize, to: &Source) {
        let host = &mut self.hosts[number];
        host.has_asked = false;
        host.sourced_ms.get_or_insert(self.now - host.spawned);
        if *to != Source::Store {
            host.is_watch_pending = false;
            return;
        }
        host.has_read = true;
        // What a host knows from others is not read again, except for the configuration.
        let first = if host.confirmed.is_some() { FEEDS - 1 } else { 0 };
        self.call(number, Call::ReadFeed(first));
    }
}
