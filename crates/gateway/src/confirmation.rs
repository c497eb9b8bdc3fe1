//! How certainly this host has the newest configuration, and what others are told of that.

use crate::{
    feed::Feed,
    hub::Hub,
    peers::{ConfigurationWord, PeerMessage},
};
use std::rc::Rc;
use vanetally_dispatch as dispatch;
use vanetally_fanout::{Source, SourceStatus};
use vanetally_types::{Name, Tick};

impl Hub {
    /// The store answered a question about the configuration that was sent at `asked`: what it told is in force,
    /// unless it can't be read.
    pub(crate) fn configuration_read(self: &Rc<Self>, feed: &Feed, asked: Tick) {
        let key = self.ports.configuration.key();
        let is_in_force = {
            let mirror = feed.mirror.borrow();
            let item = mirror.items().find(|item| &*item.key == key);
            item.is_some_and(|item| self.versions.borrow().is_newest(&item.value))
        };
        if is_in_force {
            self.freshness.borrow_mut().record_read(asked);
            self.confirm();
        }
    }

    /// Asks the source for its clock, now and then.
    pub(crate) fn ask_clock(&self) {
        let Source::Host(host) = self.source.borrow().clone() else {
            return;
        };
        let asked = self.clock.now();
        if self.freshness.borrow_mut().should_ask_clock(asked, &host) {
            self.send(&host, &PeerMessage::AskClock { asked });
        }
    }

    /// Another host asks for this one's clock.
    pub(crate) fn tell_clock(&self, host: &Name, asked: Tick) {
        self.send(host, &PeerMessage::Clock { asked, word: self.configuration_word() });
    }

    /// Another host told its clock.
    pub(crate) fn take_clock(self: &Rc<Self>, host: &Name, asked: Tick, word: ConfigurationWord) {
        if *self.source.borrow() != Source::Host(host.clone()) {
            return;
        }
        let word = fresh_word(host, word);
        self.freshness.borrow_mut().record_clock(asked, &word, self.version());
        self.confirm();
    }

    /// The source told how certainly it has the newest configuration.
    pub(crate) fn take_configuration_word(self: &Rc<Self>, host: &Name, word: ConfigurationWord) {
        let word = fresh_word(host, word);
        self.freshness.borrow_mut().record_status(&word, self.version());
        self.confirm();
        self.ask_clock();
    }

    /// How certainly this host has the newest configuration.
    pub(crate) fn configuration_word(&self) -> ConfigurationWord {
        let now = self.clock.now();
        ConfigurationWord {
            life: self.life,
            stated: now,
            age_ms: self.freshness.borrow().age_ms(now),
            version: self.version(),
        }
    }

    fn confirm(self: &Rc<Self>) {
        let confirmed = self.freshness.borrow().confirmed_at();
        if let Some(at) = confirmed {
            self.request_event(dispatch::Event::Confirmed(at));
        }
    }
}

fn fresh_word(host: &Name, word: ConfigurationWord) -> SourceStatus {
    SourceStatus {
        host: host.clone(),
        life: word.life,
        stated: word.stated,
        age_ms: word.age_ms,
        version: word.version,
    }
}
