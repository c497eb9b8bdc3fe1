//! The keys by which hosts find each other in the store.

use crate::{
    capabilities::Capabilities,
    odd_entries::{Escaped, OddEntries},
    peers::HOST_PREFIX,
};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use vanetally_ports::Item;
use vanetally_types::Name;

/// The value of a host key.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct HostEntry {
    /// The address on which the host accepts links.
    pub link: SocketAddr,
    /// The host's failure domain.
    #[serde(default, alias = "zone")]
    pub domain: Name,
    /// The host's CPU share, in percent.
    #[serde(default)]
    pub capacity: u32,
    /// Messages beyond those of the first builds that the host understands.
    #[serde(default, skip_serializing_if = "Capabilities::is_none")]
    pub capabilities: Capabilities,
}

/// Parses a host key; `None` if `item` is none or is unreadable.
pub(crate) fn parse_entry(item: &Item, odd: &OddEntries) -> Option<(Name, HostEntry)> {
    let host = item.key.strip_prefix(HOST_PREFIX)?;
    let is_name =
        !host.is_empty() && !host.chars().any(|char| char.is_control() || char.is_whitespace());
    let entry = serde_json::from_slice::<HostEntry>(&item.value);
    let (reason, error) = match entry {
        Ok(entry) if is_name && entry.link.port() != 0 => return Some((host.into(), entry)),
        Ok(_) if is_name => ("field", "port out of range".to_owned()),
        Ok(_) => ("id", "no name of a host".to_owned()),
        Err(error) => ("malformed", error.to_string()),
    };
    if let Some(passed_over) = odd.record("hosts", reason) {
        let host = Escaped(host);
        log::error!(
            "event=host_unreadable host={host} error=\"{error:.120}\" passed_over={passed_over}"
        );
    }
    None
}
