//! Configurations that hosts pass on to each other.
//!
//! Hosts tell each other the version that they have with every load. Who is behind asks, and gets what
//! differs from the version that it has.

use crate::{hub::Hub, peers::PeerMessage};
use std::rc::Rc;
use vanetally_fanout::Patch;
use vanetally_types::Name;

impl Hub {
    /// The version in force, 0 if none.
    pub(crate) fn version(&self) -> u64 {
        self.dispatch.borrow().version().unwrap_or(0)
    }

    /// Another host has `version`: if it is newer, it is asked for it.
    pub(crate) fn compare_version(&self, host: &Name, version: u64) {
        let have = self.version();
        if have < version && self.pull.borrow_mut().should_request(self.clock.now(), host) {
            log::info!("event=configuration_asked of={host} version={version} have={have}");
            let have = self.versions.borrow().newest();
            self.send(host, &PeerMessage::AskConfiguration { have });
        }
    }

    /// Another host asks for what is newer than `have`.
    pub(crate) fn tell_configuration(&self, host: &Name, have: Option<u64>) {
        let patch = self.versions.borrow_mut().try_patch(have);
        match patch {
            Ok(Some(patch)) => self.send(host, &PeerMessage::Configuration(patch)),
            Ok(None) => {}
            Err(error) => log::error!("event=configuration_not_packed error=\"{error}\""),
        }
    }

    /// Another host sent a newer configuration.
    pub(crate) fn take_configuration(self: &Rc<Self>, host: &Name, patch: &Patch) {
        self.pull.borrow_mut().received();
        let value = self.versions.borrow().try_apply(patch);
        match value {
            Ok(bytes) => self.configuration_seen(&bytes, host),
            Err(error) => {
                log::warn!("event=configuration_not_unpacked of={host} error=\"{error}\"");
                self.send(host, &PeerMessage::AskConfiguration { have: None });
            }
        }
    }
}
