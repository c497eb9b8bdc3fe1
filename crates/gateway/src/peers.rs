//! Host keys in the store, and the messages exchanged between hosts.

use crate::{
    brittle::is_brittleness,
    crashed::CrashedUpstream,
    feed::{PrefixChanges, PrefixSync},
    host_entry::{HostEntry, parse_entry},
    hub::Hub,
    order_lease::HOLDER_KEY,
    stored_quarantines::is_quarantine,
    streams::{Beginning, is_versions},
    watch::FeedHandler,
    wire,
};
use serde::{Deserialize, Serialize};
use std::rc::Rc;
use vanetally_dispatch::{Digest, LoadRow, WaitRow};
use vanetally_fanout::{HostIncarnation, Patch, Path, StoreState};
use vanetally_limit::{PermitAnswer, PermitRequest};
use vanetally_pacing::{Prompt, SlotReply};
use vanetally_placement::OrderLeaseEvent;
use vanetally_ports::{Change, Item, Revision};
use vanetally_quarantine::{ContentHash, Quarantine, Suspicion};
use vanetally_quota::{QuotaAnswer, Rank};
use vanetally_slots::{SlotAnswer, SlotEnd, SlotRequest};
use vanetally_streams::{Answer, StreamKey};
use vanetally_types::{Incarnation, Name, Tick};

/// Prefix of all keys of the product.
pub(crate) const PRODUCT_PREFIX: &str = "vanetally/";
/// Prefix of the host keys.
pub(crate) const HOST_PREFIX: &str = "vanetally/hosts/";

/// A message between hosts.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum PeerMessage {
    /// From one aggregator to the others: the load sum of the sender and its subscribers, and its
    /// configuration version.
    Digest {
        /// The configuration version, 0 if none.
        version: u64,
        /// The load and demand.
        digest: Digest,
    },
    /// To an aggregator: the sender's load and configuration version.
    Report {
        /// The sequence number of this report.
        number: u64,
        /// The configuration version, 0 if none.
        version: u64,
        /// The load and demand.
        digest: Digest,
    },
    /// From an aggregator to its subscribers: the total load.
    Total(LoadTotal),
    /// From a host that forwards store data: its status.
    #[serde(rename = "Word")]
    Status(HostStatus),
    /// Subscribes the sender: the receiver replies with a [`Self::Sync`] and sends changes from
    /// then on.
    Subscribe {
        /// The sender's entry, which the receiver may not have seen yet.
        entry: HostEntry,
        /// The revision up to which the sender knows all changes, by prefix.
        have: Vec<(Name, u64)>,
        /// The era of these revisions; omitted by hosts of earlier builds.
        #[serde(default, skip_serializing_if = "wire::is_none")]
        era: u64,
        /// Whether the sender is an aggregator itself.
        is_aggregator: bool,
    },
    /// From a subscribed aggregator: keeps its subscription alive.
    #[serde(rename = "Listening")]
    KeepSubscription,
    /// Ends the sender's subscription.
    Unsubscribe,
    /// Brings a subscriber up to date.
    Sync {
        /// The state of the sender's contact with the store.
        store: StoreState,
        /// Milliseconds since the store confirmed the data.
        age_ms: Option<u64>,
        /// The hosts through which the sender receives store data; omitted by hosts of earlier
        /// builds.
        #[serde(default)]
        path: Path,
        /// The update of each prefix.
        prefixes: Vec<PrefixSync>,
    },
    /// From an aggregator: changes to the store's keys.
    Changes {
        /// The state of its contact with the store.
        store: StoreState,
        /// The changes.
        changes: PrefixChanges,
    },
    /// To the pacer of an engine: requests a send time for a prompt.
    Reserve {
        /// The number of this query.
        number: u64,
        /// The prompt.
        prompt: Prompt,
    },
    /// From the pacer of an engine: the answer to [`Self::Reserve`].
    Reserved {
        /// The number of the query.
        number: u64,
        /// The assigned slot.
        slot: SlotReply,
    },
    /// To the pacer of an engine: how a request ended there.
    Ended {
        /// The engine's incarnation.
        upstream: Incarnation,
        /// Whether the engine answered.
        is_good: bool,
    },
    /// To the holder of the order lease: a model is in demand.
    #[serde(rename = "Want")]
    RequestModel {
        /// The service.
        service: Name,
        /// The model.
        model: Name,
        /// An adapter of it.
        adapter: Option<Name>,
        /// Whether the model is loaded but saturated, so that another copy is needed.
        #[serde(default)]
        #[serde(rename = "is_crowded")]
        is_saturated: bool,
    },
    /// From the holder of the order lease: what a runner holds.
    Placed {
        /// The runner.
        runner: Incarnation,
        /// The model.
        model: Name,
        /// An adapter of it.
        adapter: Option<Name>,
        /// Whether the model is loaded.
        is_present: bool,
        /// Fencing token of the holder; hosts of earlier builds state none.
        #[serde(default)]
        token: Option<u64>,
    },
    /// Requests the receiver's clock.
    AskClock {
        /// When the request was sent, by the sender's clock.
        asked: Tick,
    },
    /// The sender's clock and configuration status, in reply to [`Self::AskClock`].
    Clock {
        /// When the request was sent, by the receiver's clock.
        asked: Tick,
        /// The sender's configuration status.
        #[serde(rename = "word")]
        status: ConfigurationStatus,
    },
    /// To the grantor: requests to spend quota.
    Spend {
        /// The number of this query.
        number: u64,
        /// The organisation.
        organisation: Name,
        /// The cost of the request.
        cost: u32,
        /// The urgency of the request; omitted by hosts of earlier builds.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        rank: Option<Rank>,
        /// The longest useful wait in milliseconds; omitted if the request does not wait.
        #[serde(default, skip_serializing_if = "wire::is_none")]
        wait_ms: u64,
    },
    /// To a grantor that lets requests wait: the sender does not need the grant of
    /// [`Self::Spend`] any more. A grant that was made is returned.
    CancelSpend {
        /// The number of the query.
        number: u64,
    },
    /// From the grantor: the answer to [`Self::Spend`].
    Spent {
        /// The number of the query.
        number: u64,
        /// The answer.
        answer: QuotaAnswer,
    },
    /// To the grantor: returns quota of a request that did not run.
    GiveBack {
        /// The organisation.
        organisation: Name,
        /// The cost of the request.
        cost: u32,
    },
    /// To the grantor: requests a permit for a rate-limited upstream.
    Permit {
        /// The number of this query.
        number: u64,
        /// The permit request.
        #[serde(rename = "question")]
        request: PermitRequest,
    },
    /// From the grantor: the answer to [`Self::Permit`].
    Permitted {
        /// The number of the query.
        number: u64,
        /// The permit request, so that a permit that arrives too late can be returned.
        #[serde(rename = "question")]
        request: PermitRequest,
        /// The answer.
        answer: PermitAnswer,
    },
    /// To the grantor: returns a permit that was not used.
    ReturnPermit {
        /// The upstream's incarnation.
        upstream: Incarnation,
        /// The rate at which it was granted, in requests per second.
        rate: f64,
    },
    /// To the owner of a plain upstream's slots: requests one.
    AcquireSlot {
        /// The number of this query.
        #[serde(rename = "n")]
        number: u64,
        /// The request for a slot.
        #[serde(rename = "q")]
        request: SlotRequest,
    },
    /// From the owner of a plain upstream's slots: the answer to [`Self::AcquireSlot`]. Another one follows if the
    /// request waits.
    SlotAnswered {
        /// The number of the query.
        #[serde(rename = "n")]
        number: u64,
        /// The upstream's incarnation, so that a grant that arrives too late can be released.
        #[serde(rename = "u")]
        upstream: Incarnation,
        /// The answer.
        #[serde(rename = "a")]
        answer: SlotAnswer,
    },
    /// To the owner of a plain upstream's slots: releases one, or ends the wait for it.
    ReleaseSlot {
        /// The number of the query.
        #[serde(rename = "n")]
        number: u64,
        /// The upstream's incarnation.
        #[serde(rename = "u")]
        upstream: Incarnation,
        /// How the use of the slot ended.
        #[serde(rename = "e", default, skip_serializing_if = "SlotEnd::is_used")]
        end: SlotEnd,
    },
    /// To the last grantor, while the store is unreachable: the sender asks it and no other host.
    #[serde(rename = "Follows")]
    FollowsGrantor,
    /// To the hosts that keep the crash evidence: an upstream showed a crash sign while it ran requests with these
    /// contents.
    Crashed(CrashedUpstream),
    /// To the hosts that keep the crash evidence: requests with these suspected contents were answered. With each, how many
    /// milliseconds ago the answer began.
    Answered(Vec<(ContentHash, u64)>),
    /// Contents that are suspected.
    Suspected(Vec<Suspicion>),
    /// Contents that are quarantined or released.
    #[serde(rename = "Sentenced")]
    Quarantined(Vec<Quarantine>),
    /// To a host that keeps the crash evidence: asks for a try of a suspected content.
    AskTry {
        /// The number of this query.
        #[serde(rename = "n")]
        number: u64,
        /// The content.
        #[serde(rename = "c")]
        content: ContentHash,
        /// Whether the request has no other suspected content.
        #[serde(rename = "o")]
        is_alone: bool,
    },
    /// The answer to [`Self::AskTry`].
    TryAnswered {
        /// The number of the query.
        #[serde(rename = "n")]
        number: u64,
        /// The content.
        #[serde(rename = "c")]
        content: ContentHash,
        /// Whether the try is granted.
        #[serde(rename = "a")]
        is_granted: bool,
    },
    /// To a host that keeps the crash evidence: tries are over whose result says nothing of these contents.
    EndTries(Vec<ContentHash>),
    /// Upstreams that have announced that they are leaving.
    Leaving(Vec<Incarnation>),
    /// Services whose upstreams have stated that they are brittle.
    Brittle(Vec<BrittleService>),
    /// To the hosts that keep it: where a stream began.
    KeepBeginning(Beginning),
    /// To hosts that may keep it: asks where a stream began.
    AskBeginning {
        /// The number of this query.
        #[serde(rename = "n")]
        number: u64,
        /// The stream.
        #[serde(rename = "k")]
        key: StreamKey,
        /// The service, if only one may have begun it.
        #[serde(rename = "s")]
        service: Option<Name>,
    },
    /// The answer to [`Self::AskBeginning`].
    BeginningAnswered {
        /// The number of the query.
        #[serde(rename = "n")]
        number: u64,
        /// The answer.
        #[serde(rename = "a")]
        answer: Answer,
    },
    /// Requests the configuration.
    AskConfiguration {
        /// The version that the sender has.
        have: Option<u64>,
    },
    /// The stored configuration, as a patch.
    Configuration(Patch),
}

/// A service whose upstreams are brittle.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct BrittleService {
    /// The service.
    #[serde(rename = "s")]
    pub service: Name,
    /// Rejections for lack of room in a second that an upstream survives.
    #[serde(rename = "n")]
    pub max_rejections: u32,
}

/// The status of a host that forwards store data.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct HostStatus {
    /// The configuration version, 0 if none.
    pub version: u64,
    /// Milliseconds since the store confirmed the forwarded data.
    pub age_ms: Option<u64>,
    /// The host's configuration status; omitted by hosts of earlier versions.
    #[serde(default)]
    pub configuration: ConfigurationStatus,
    /// The state of the host's contact with the store.
    pub store: StoreState,
    /// The revisions announced before this message, by prefix.
    #[serde(rename = "told")]
    pub announced: Vec<AnnouncedRevisions>,
    /// Whether the host is stopping.
    pub is_leaving: bool,
    /// The hosts through which the host receives store data; omitted by hosts of earlier builds.
    #[serde(default)]
    pub path: Path,
}

/// A host's configuration version and when it was last confirmed as the newest.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub(crate) struct ConfigurationStatus {
    /// The incarnation of the host's process.
    #[serde(rename = "l")]
    pub incarnation: HostIncarnation,
    /// When this status was made, by the host's clock.
    #[serde(rename = "t")]
    pub stated: Tick,
    /// Milliseconds since its configuration was confirmed to be the newest; `None` if unknown.
    #[serde(rename = "a")]
    pub age_ms: Option<u64>,
    /// The configuration version.
    #[serde(rename = "v")]
    pub version: u64,
}

/// The revisions up to which changes of a prefix were announced, all of one era. A receiver that
/// lacks one of these changes has lost a message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "wire::AnnouncedRevisions", into = "wire::AnnouncedRevisions")]
pub(crate) struct AnnouncedRevisions {
    /// The prefix.
    pub prefix: Name,
    /// The last announced revision.
    pub last: Revision,
    /// The revision up to which no further changes exist.
    pub at: Revision,
}

/// The total load, sent periodically by an aggregator to its subscribers.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct LoadTotal {
    /// The aggregator's status.
    #[serde(rename = "word")]
    pub status: HostStatus,
    /// The report numbers included in the loads, by host.
    pub reported: Vec<(Name, u64)>,
    /// The load of all hosts.
    pub loads: Vec<LoadRow>,
    /// The waiting requests of all hosts; absent in totals of earlier builds.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub waiting: Vec<WaitRow>,
}

/// Handles changes of the product's own keys.
pub(crate) struct PeerFeedHandler {
    pub hub: Rc<Hub>,
}

impl PeerFeedHandler {
    fn key_changed(&self, change: Change) {
        match change {
            Change::Put(item) if &*item.key == HOLDER_KEY => {
                self.hub.holder_seen(holder_name(&item));
            }
            Change::Put(item) if is_quarantine(&item.key) => self.hub.apply_stored(&item),
            Change::Put(item) if is_brittleness(&item.key) => self.hub.apply_stored_brittle(&item),
            Change::Put(item) if is_versions(&item.key) => {
                self.hub.stored_versions_seen(&item.key, Some(&item));
            }
            Change::Put(item) => {
                if let Some((host, entry)) = parse_entry(&item, self.hub.store.odd_entries()) {
                    self.hub.peer_seen(host, entry);
                }
            }
            Change::Deleted { key, .. } if &*key == HOLDER_KEY => self.hub.holder_seen(None),
            Change::Deleted { key, .. } if is_quarantine(&key) => self.hub.restore_missing(),
            Change::Deleted { key, .. } if is_versions(&key) => {
                self.hub.stored_versions_seen(&key, None);
            }
            Change::Deleted { key, .. } => {
                if let Some(host) = key.strip_prefix(HOST_PREFIX) {
                    self.hub.peer_gone(&host.into());
                }
            }
        }
    }
}

impl FeedHandler for PeerFeedHandler {
    fn replaced(&self, snapshot: crate::store::Snapshot) {
        let era = snapshot.at.era;
        let is_restore = self.hub.record_keys_read(era);
        let odd = self.hub.store.odd_entries();
        let hosts = snapshot.items.iter().filter_map(|item| parse_entry(item, odd)).collect();
        self.hub.set_peers(hosts, is_restore);
        let quarantines = snapshot.items.iter().filter(|item| is_quarantine(&item.key));
        quarantines.for_each(|item| self.hub.apply_stored(item));
        let brittle = snapshot.items.iter().filter(|item| is_brittleness(&item.key));
        brittle.for_each(|item| self.hub.apply_stored_brittle(item));
        let versions = snapshot.items.iter().filter(|item| is_versions(&item.key));
        self.hub.stored_versions_read(versions);
        let holder = snapshot.items.iter().find(|item| &*item.key == HOLDER_KEY);
        if is_restore {
            self.hub.order_key_restored(era, holder);
            self.hub.restore_missing();
        }
        self.hub.holder_seen(holder.and_then(holder_name));
    }

    fn changed(&self, changes: Vec<Change>) {
        changes.into_iter().for_each(|change| self.key_changed(change));
    }

    fn lost(&self) {
        self.hub.order_lease_event(OrderLeaseEvent::StoreLost);
    }
}

pub(crate) fn holder_name(item: &Item) -> Option<Name> {
    std::str::from_utf8(&item.value).ok().map(Name::from)
}
