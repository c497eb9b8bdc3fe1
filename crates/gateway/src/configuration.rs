//! Distribution of configurations between hosts.
//!
//! Hosts include their configuration version in every load message. A host that is behind requests
//! a patch against the version it has, and repeats that until it has the version.

use crate::{hub::Hub, peers::PeerMessage};
use std::rc::Rc;
use vanetally_dispatch::Event;
use vanetally_fanout::Patch;
use vanetally_types::Name;

impl Hub {
    /// The configuration version in force, 0 if none.
    pub(crate) fn version(&self) -> u64 {
        self.dispatch.borrow().version().unwrap_or(0)
    }

    /// Requests the configuration from `host` if its `version` is newer than the local one.
    pub(crate) fn check_version(self: &Rc<Self>, host: &Name, version: u64) {
        self.configuration_pull.borrow_mut().heard(host, version);
        let have = self.version();
        if have >= version {
            return;
        }
        self.request_event(Event::VersionHeard(version));
        let bytes = self.versions.borrow().newest_bytes();
        self.configuration_pull.borrow_mut().set_bytes(bytes);
        if self.configuration_pull.borrow_mut().should_request(self.clock.now(), host) {
            log::info!("event=configuration_asked of={host} version={version} have={have}");
            self.request_configuration(host);
        }
    }

    /// Requests the configuration again if a newer version was stated but has not arrived.
    pub(crate) fn repeat_configuration_request(&self) {
        let have = self.version();
        let host = self.configuration_pull.borrow_mut().overdue(self.clock.now(), have);
        if let Some(host) = host {
            log::info!("event=configuration_asked_again of={host} have={have}");
            self.request_configuration(&host);
        }
    }

    fn request_configuration(&self, host: &Name) {
        let have = self.versions.borrow().newest();
        self.send(host, &PeerMessage::AskConfiguration { have });
    }

    /// Sends `host` a patch from version `have` to the newest one.
    pub(crate) fn send_configuration(&self, host: &Name, have: Option<u64>) {
        let patch = self.versions.borrow_mut().try_patch(have);
        match patch {
            Ok(Some(patch)) => self.send(host, &PeerMessage::Configuration(patch)),
            Ok(None) => {}
            Err(error) => log::error!("event=configuration_not_packed error=\"{error}\""),
        }
    }

    /// Applies a configuration patch from `host`, or requests the full configuration if that fails.
    pub(crate) fn apply_patch(self: &Rc<Self>, host: &Name, patch: &Patch) {
        self.configuration_pull.borrow_mut().received();
        let patched = self.versions.borrow().try_apply(patch);
        match patched {
            Ok(bytes) => self.apply_configuration(&bytes, host),
            Err(error) => {
                log::warn!("event=configuration_not_unpacked of={host} error=\"{error}\"");
                self.send(host, &PeerMessage::AskConfiguration { have: None });
            }
        }
    }
}
