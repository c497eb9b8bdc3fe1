//! Other hosts: their keys in the store, and what hosts tell each other over links.

use crate::{
    feed::{PrefixChanges, PrefixSync},
    hub::Hub,
    quarantine::is_quarantine,
    tenure::HOLDER_KEY,
    watch::Follower,
    wire,
};
use serde::{Deserialize, Serialize};
use std::{net::SocketAddr, rc::Rc};
use vanetally_dispatch::{Digest, LoadRow};
use vanetally_fanout::{HostIncarnation, Patch, Path, StoreState};
use vanetally_limit::{PermitAnswer, PermitRequest};
use vanetally_pacing::{Prompt, SlotReply};
use vanetally_placement::OrderLeaseEvent;
use vanetally_ports::{Change, Item, Revision};
use vanetally_quarantine::{ContentHash, CrashReport, Quarantine};
use vanetally_quota::QuotaAnswer;
use vanetally_types::{Incarnation, Name, Tick};

/// The beginning of all keys of the product.
pub(crate) const PREFIX: &str = "vanetally/";
/// The beginning of the hosts' keys.
pub(crate) const HOSTS: &str = "vanetally/hosts/";

/// What a host's key says.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct HostEntry {
    /// Where its links listen.
    pub link: SocketAddr,
    /// Its failure domain.
    #[serde(default, alias = "zone")]
    pub domain: Name,
    /// Its share of a processor, in percent.
    #[serde(default)]
    pub capacity: u32,
}

/// What hosts tell each other.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum PeerMessage {
    /// From one aggregator to others: the load of the sender and its subscribers, and the version
    /// of its configuration.
    Digest {
        /// The version, 0 if none.
        version: u64,
        /// The load.
        digest: Digest,
    },
    /// To an aggregator: the sender's load, and the version of its configuration.
    Report {
        /// The number of this report.
        number: u64,
        /// The version, 0 if none.
        version: u64,
        /// The load.
        digest: Digest,
    },
    /// From an aggregator to its subscribers.
    Total(Total),
    /// The sender passes on what lies in the store; how it stands.
    Word(Word),
    /// The sender wants to hear what is new to it, and changes from then on.
    Subscribe {
        /// The sender's key, which the receiver may not have heard of.
        entry: HostEntry,
        /// Up to where the sender knows all changes, by prefix.
        have: Vec<(Name, u64)>,
        /// The era of all these; hosts of earlier builds tell none.
        #[serde(default, skip_serializing_if = "wire::is_none")]
        era: u64,
        /// Whether the sender is an aggregator itself.
        is_aggregator: bool,
    },
    /// The sender, an aggregator, still hears from the receiver.
    Listening,
    /// The sender needs no more.
    Unsubscribe,
    /// What is new to a subscriber.
    Sync {
        /// The sender's contact with the store.
        store: StoreState,
        /// Milliseconds since the store confirmed it.
        age_ms: Option<u64>,
        /// By way of whom the sender hears from the store; hosts of earlier builds say nothing of it.
        #[serde(default)]
        path: Path,
        /// What is new, by prefix.
        prefixes: Vec<PrefixSync>,
    },
    /// From an aggregator: what changed.
    Changes {
        /// Its contact with the store.
        store: StoreState,
        /// The changes.
        changes: PrefixChanges,
    },
    /// To the pacer of an engine: when may this prompt be sent?
    Reserve {
        /// The number of this question.
        number: u64,
        /// The prompt.
        prompt: Prompt,
    },
    /// From the pacer of an engine.
    Reserved {
        /// The number of the question.
        number: u64,
        /// When.
        slot: SlotReply,
    },
    /// To the pacer of an engine: how a request ended there.
    Ended {
        /// The engine's incarnation.
        upstream: Incarnation,
        /// Whether it answered.
        is_good: bool,
    },
    /// To the holder of orders: something is missing.
    Want {
        /// The service.
        service: Name,
        /// The model.
        model: Name,
        /// An adapter of it.
        adapter: Option<Name>,
        /// Whether it is held, and one more copy is wanted.
        #[serde(default)]
        is_crowded: bool,
    },
    /// From the holder of orders: what a runner holds.
    Placed {
        /// The runner.
        runner: Incarnation,
        /// The model.
        model: Name,
        /// An adapter of it.
        adapter: Option<Name>,
        /// Whether it is there.
        is_present: bool,
    },
    /// The sender asks for the receiver's clock.
    AskClock {
        /// When it was asked, by the sender's clock.
        asked: Tick,
    },
    /// The sender's clock, and how it stands.
    Clock {
        /// When it was asked for, by the receiver's clock.
        asked: Tick,
        /// How the sender stands.
        word: ConfigurationWord,
    },
    /// To the grantor of quotas: may this be spent?
    Spend {
        /// The number of this question.
        number: u64,
        /// The organisation.
        organisation: Name,
        /// What the request counts as.
        cost: u32,
    },
    /// From the grantor of quotas.
    Spent {
        /// The number of the question.
        number: u64,
        /// What it says.
        answer: QuotaAnswer,
    },
    /// To the grantor of quotas: what was granted did not run.
    GiveBack {
        /// The organisation.
        organisation: Name,
        /// What the request counted as.
        cost: u32,
    },
    /// To the grantor: when may this request go to an upstream in need?
    Permit {
        /// The number of this question.
        number: u64,
        /// The question.
        question: PermitRequest,
    },
    /// From the grantor.
    Permitted {
        /// The number of the question.
        number: u64,
        /// The question: what comes too late is given back.
        question: PermitRequest,
        /// What it says.
        answer: PermitAnswer,
    },
    /// To the grantor: what was granted did not go.
    ReturnPermit {
        /// The upstream's incarnation.
        upstream: Incarnation,
        /// The rate by which it was granted, in requests a second.
        rate: f64,
    },
    /// To the last grantor, while the store is away: the sender asks it and nobody else.
    Follows,
    /// To those that keep the evidence of a content, from hosts of earlier builds: an upstream ended under it.
    Accuse {
        /// The content.
        content: ContentHash,
        /// The upstream's incarnation.
        upstream: Incarnation,
    },
    /// To those that keep the evidence of a content: an upstream showed a sign of its end under it.
    Suspect(CrashReport),
    /// To those that keep the evidence of a content: a request of it was answered whole.
    #[serde(rename = "Acquit")]
    Clear(ContentHash),
    /// Contents that must not be sent, or may be sent again.
    #[serde(rename = "Sentenced")]
    Quarantined(Vec<Quarantine>),
    /// Upstreams that have said that they leave.
    Leaving(Vec<Incarnation>),
    /// The sender asks for the configuration.
    AskConfiguration {
        /// The version that it has.
        have: Option<u64>,
    },
    /// The configuration as it lay in the store.
    Configuration(Patch),
}

/// How a host stands that passes on what lies in the store.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Word {
    /// The version of the configuration, 0 if none.
    pub version: u64,
    /// Milliseconds since the store confirmed what the host passes on.
    pub age_ms: Option<u64>,
    /// The same for the configuration; hosts of earlier versions say nothing of it.
    #[serde(default)]
    pub configuration: ConfigurationWord,
    /// The host's contact with the store.
    pub store: StoreState,
    /// What was told before this.
    pub told: Vec<Told>,
    /// Whether it is about to stop.
    pub is_leaving: bool,
    /// By way of whom the host hears from the store; hosts of earlier builds say nothing of it.
    #[serde(default)]
    pub path: Path,
}

/// How certainly a host has the newest configuration.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub(crate) struct ConfigurationWord {
    /// The life of the host's process.
    #[serde(rename = "l")]
    pub life: HostIncarnation,
    /// When this was written, by the host's clock.
    #[serde(rename = "t")]
    pub stated: Tick,
    /// Milliseconds since its configuration was certainly the newest; none if that is not known.
    #[serde(rename = "a")]
    pub age_ms: Option<u64>,
    /// The version.
    #[serde(rename = "v")]
    pub version: u64,
}

/// Up to where the changes of a prefix were told, all of one era: what is missing of them was lost.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "wire::Told", into = "wire::Told")]
pub(crate) struct Told {
    /// The prefix.
    pub prefix: Name,
    /// The last that was told.
    pub last: Revision,
    /// There was no other up to here.
    pub at: Revision,
}

/// What an aggregator tells its subscribers, now and then.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Total {
    /// How it stands.
    pub word: Word,
    /// The reports that the loads include.
    pub reported: Vec<(Name, u64)>,
    /// The load of all hosts.
    pub loads: Vec<LoadRow>,
}

/// Follows the product's own keys.
pub(crate) struct PeerFollower {
    pub hub: Rc<Hub>,
}

impl Follower for PeerFollower {
    fn replaced(&self, snapshot: crate::store::Snapshot) {
        let era = snapshot.at.era;
        let is_return = self.hub.keys_read(era);
        let hosts = snapshot.items.iter().filter_map(entry).collect();
        self.hub.set_peers(hosts, is_return);
        let quarantines = snapshot.items.iter().filter(|item| is_quarantine(&item.key));
        quarantines.for_each(|item| self.hub.kept_quarantine(item));
        let holder = snapshot.items.iter().find(|item| &*item.key == HOLDER_KEY);
        if is_return {
            self.hub.orders_returned(era, holder);
            self.hub.keep_again();
        }
        self.hub.holder_seen(holder.and_then(holder_name));
    }

    fn changed(&self, change: Change) {
        match change {
            Change::Put(item) if &*item.key == HOLDER_KEY => {
                self.hub.holder_seen(holder_name(&item));
            }
            Change::Put(item) if is_quarantine(&item.key) => self.hub.kept_quarantine(&item),
            Change::Put(item) => {
                if let Some((host, entry)) = entry(&item) {
                    self.hub.peer_seen(host, entry);
                }
            }
            Change::Deleted { key, .. } if &*key == HOLDER_KEY => self.hub.holder_seen(None),
            Change::Deleted { key, .. } => {
                if let Some(host) = key.strip_prefix(HOSTS) {
                    self.hub.peer_gone(&host.into());
                }
            }
        }
    }

    fn lost(&self) {
        self.hub.tenure_event(OrderLeaseEvent::StoreLost);
    }
}

/// The host and its entry, if `item` is a host's key.
pub(crate) fn entry(item: &Item) -> Option<(Name, HostEntry)> {
    let host = item.key.strip_prefix(HOSTS)?;
    match serde_json::from_slice(&item.value) {
        Ok(entry) => Some((host.into(), entry)),
        Err(error) => {
            log::error!("event=host_unreadable host={host} error=\"{error}\"");
            None
        }
    }
}

pub(crate) fn holder_name(item: &Item) -> Option<Name> {
    std::str::from_utf8(&item.value).ok().map(Name::from)
}
