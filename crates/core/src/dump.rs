//! The state of a core as JSON for operators.

use crate::Core;
use serde_json::{Value, json};
use vanetally_claim::Role;
use vanetally_types::Name;

impl Core {
    /// Returns the state that decisions depend on, without secrets.
    pub fn dump(&self) -> Value {
        json!({
            "host": self.options.host_id,
            "domain": self.options.listed.domain,
            "ready": self.is_ready(),
            "stopping": self.stopping,
            "config": {
                "revision": self.revisions.current().number,
                "change": self.revisions.current().change,
                "source": self.revisions.source(),
                "platform_behind": self.revisions.platform_behind(),
                "watching": self.watching,
            },
            "hosts": self.dump_hosts(),
            "requests": self.dump_requests(),
            "slots": self.dump_slots(),
            "groups": self.dump_groups(),
            "runners": self.dump_runners(),
            "planner": self.planning_since.is_some(),
        })
    }

    fn dump_hosts(&self) -> Value {
        let row = |peer: &vanetally_member::Peer| {
            json!({
                "name": peer.listed.name, "domain": peer.listed.domain,
                "peer": peer.listed.link_addr,
                "incarnation": peer.incarnation, "listed": peer.is_listed,
                "leaving": peer.leaving || peer.listed.leaving,
                "silent_ms": peer.last_seen.map(|at| self.now.since(at)),
                "alive": self.members.is_host_eligible(self.now, &peer.listed.name),
            })
        };
        self.members.peers().map(row).collect()
    }

    fn dump_requests(&self) -> Value {
        let (waiting, running) = self.requests();
        json!({
            "waiting": waiting, "running": running,
            "once_only": self.attempts.len(), "finishes_unconfirmed": self.unacked_outcomes.len(),
        })
    }

    fn dump_slots(&self) -> Value {
        let mut rows = Vec::new();
        for (number, slot) in self.slots.iter().enumerate() {
            let (ids, unrecorded) = slot.counts();
            let latest = self.slot_holders.get(&(number as u16));
            let mode = slot.mode().as_str();
            rows.push(json!({
                "slot": number, "role": slot.role(),
                "mode": (slot.role() == Role::Holder).then_some(mode),
                "epoch": latest.map(|h| h.0), "holder": latest.map(|h| h.1.to_string()),
                "deputy": slot.record().and_then(|r| r.backup.as_ref()).map(|d| d.to_string()),
                "ids": ids, "unrecorded": unrecorded,
                "doubts": slot.unresolved_holders().map(|h| h.to_string()).collect::<Vec<_>>(),
            }));
        }
        Value::Array(rows)
    }

    fn dump_groups(&self) -> Value {
        let row = |(number, group): (usize, &vanetally_member::GroupLeadership)| {
            let latest = self.group_leaders.get(&(number as u16));
            json!({
                "group": number, "role": group.role(),
                "term": latest.map(|h| h.0), "steward": latest.map(|h| h.1.to_string()),
            })
        };
        self.groups.iter().enumerate().map(row).collect()
    }

    fn dump_runners(&self) -> Value {
        let row = |(name, ledger): (&Name, &vanetally_ledger::Ledger)| {
            let status = self.runner_status.get(name);
            json!({
                "name": name, "stewardship": ledger.state(), "held_bytes": ledger.held_bytes(),
                "open_orders": ledger.open_intents(),
                "reachable": status.is_some_and(|s| s.reachable),
                "running": status.map(|s| s.running),
                "leaving": status.is_some_and(|s| s.leaving),
                "entries": status.map(|s| &s.entries),
                "wanted": ledger.desired().map(|w| w.keys().cloned().collect::<Vec<_>>()),
            })
        };
        self.ledgers.iter().map(row).collect()
    }
}
