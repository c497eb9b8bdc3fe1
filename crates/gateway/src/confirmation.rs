//! Tracks as of when this host's configuration is confirmed to be the newest, and reports that to
//! other hosts.

use crate::{
    feed::Feed,
    hub::Hub,
    peers::{ConfigurationStatus, PeerMessage},
};
use std::rc::Rc;
use vanetally_dispatch as dispatch;
use vanetally_fanout::{Source, SourceStatus};
use vanetally_types::{Name, Tick};

impl Hub {
    /// Records that a store request sent at `requested_at` returned the configuration, provided
    /// that it is readable and therefore in force.
    pub(crate) fn configuration_confirmed(self: &Rc<Self>, feed: &Feed, requested_at: Tick) {
        let key = self.ports.configuration.key();
        let is_in_force = {
            let mirror = feed.mirror.borrow();
            let item = mirror.items().find(|item| &*item.key == key);
            item.is_some_and(|item| self.versions.borrow().is_newest(&item.value))
        };
        if is_in_force {
            self.freshness.borrow_mut().record_read(requested_at);
            self.confirm();
        }
    }

    /// Requests the source's clock if a new reading is due.
    pub(crate) fn request_clock(&self) {
        let Source::Host(host) = self.source.borrow().clone() else {
            return;
        };
        let asked = self.clock.now();
        if self.freshness.borrow_mut().should_request_clock(asked, &host) {
            self.send(&host, &PeerMessage::AskClock { asked });
        }
    }

    /// Replies to a clock request.
    pub(crate) fn send_clock(&self, host: &Name, asked: Tick) {
        self.send(host, &PeerMessage::Clock { asked, status: self.configuration_status() });
    }

    /// Handles the reply to a clock request.
    pub(crate) fn receive_clock(
        self: &Rc<Self>,
        host: &Name,
        asked: Tick,
        status: ConfigurationStatus,
    ) {
        if *self.source.borrow() != Source::Host(host.clone()) {
            return;
        }
        let status = freshness_report(host, status);
        self.freshness.borrow_mut().record_clock(asked, &status, self.version());
        self.confirm();
    }

    /// Handles the configuration status reported by the source.
    pub(crate) fn receive_configuration_status(
        self: &Rc<Self>,
        host: &Name,
        status: ConfigurationStatus,
    ) {
        let status = freshness_report(host, status);
        self.freshness.borrow_mut().record_status(&status, self.version());
        self.confirm();
        self.request_clock();
    }

    /// Returns this host's configuration version and when it was last confirmed as the newest.
    pub(crate) fn configuration_status(&self) -> ConfigurationStatus {
        let now = self.clock.now();
        ConfigurationStatus {
            incarnation: self.incarnation,
            stated: now,
            age_ms: self.freshness.borrow().age_ms(now),
            version: self.version(),
        }
    }

    fn confirm(self: &Rc<Self>) {
        let confirmed = self.freshness.borrow().confirmed_at();
        if let Some(at) = confirmed {
            self.request_event(dispatch::Event::Confirmed(at));
            self.update_configured();
        }
    }
}

fn freshness_report(host: &Name, status: ConfigurationStatus) -> SourceStatus {
    SourceStatus {
        host: host.clone(),
        incarnation: status.incarnation,
        written_at: status.stated,
        age_ms: status.age_ms,
        version: status.version,
    }
}
