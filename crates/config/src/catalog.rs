//! The operators' catalog: declared objects with labels, and rules that select objects by label.

use crate::{Millis, Size};
use serde::{Deserialize, Serialize};
use vanetally_types::{Labels, Name, Selector};

/// One revision of the catalog, as stored in the platform's key-value service.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Revision {
    /// Increases with each accepted change; 0 means that there is no revision yet.
    pub number: u64,
    /// Id of the change, by which a writer recognises its own write.
    pub change: Name,
    /// Ids of the preceding changes, newest first, at most [`MAX_EARLIER`].
    #[serde(default)]
    pub earlier: Vec<Name>,
    /// The catalog itself.
    pub catalog: Catalog,
}

/// Maximum number of preceding changes that a revision lists.
pub const MAX_EARLIER: usize = 32;

/// All objects and rules that operators declare.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Catalog {
    /// Callers that may send requests.
    pub callers: Vec<Caller>,
    /// Models and their versions.
    pub models: Vec<Model>,
    /// Adapters of model versions.
    pub adapters: Vec<Adapter>,
    /// Model engines.
    pub runners: Vec<Runner>,
    /// Services that are not model engines.
    pub services: Vec<Service>,
    /// Labels of the hosts that run the daemon.
    pub hosts: Vec<HostLabels>,
    /// Which callers may reach which targets; without a matching rule a request is denied.
    pub admit: Vec<Admit>,
    /// Which runners may hold which models; any runner if there are no rules.
    pub place: Vec<Place>,
    /// Request classes by the labels of caller and target; the first match applies.
    pub classes: Vec<Class>,
    /// Priorities between classes.
    pub yields: Vec<Yield>,
    /// Targets whose requests run at most once and must carry an idempotency key.
    pub once: Vec<Selector>,
    /// Load limits of the weight store.
    pub store: Store,
    /// Expected number of requests within their deadline that a move must gain, for each load or
    /// unload that it takes. A low value favours the attainment of deadlines, a high one fewer
    /// moves.
    pub move_price: u32,
}

/// A caller, identified by its bearer token.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Caller {
    /// Name in logs; queueing is fair between callers.
    pub name: Name,
    /// SHA-256 of the bearer token, hex-encoded.
    pub token_sha256: Name,
    /// Labels for selectors.
    #[serde(default)]
    pub labels: Labels,
}

/// A model; requests that name no version go to the newest resident one.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// Name in requests.
    pub name: Name,
    /// Versions, oldest first.
    pub versions: Vec<Version>,
    /// Labels for selectors.
    #[serde(default)]
    pub labels: Labels,
}

/// One version of a model.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Version {
    /// Name of the version; callers select it as `MODEL@VERSION`.
    pub name: Name,
    /// Memory for the weights and the KV cache reserved with them.
    pub size: Size,
}

/// An adapter, loaded on a runner together with its base.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Adapter {
    /// Name in requests.
    pub name: Name,
    /// The adapted model version, `MODEL@VERSION`.
    pub base: Name,
    /// Memory for the adapter.
    pub size: Size,
    /// Labels for selectors.
    #[serde(default)]
    pub labels: Labels,
}

/// A model engine and its accelerators.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Runner {
    /// Name, unique among all upstreams.
    pub name: Name,
    /// Base URL, `http://IP:PORT`.
    pub url: Name,
    /// Failure domain.
    pub domain: Name,
    /// Memory for models and adapters.
    pub capacity: Size,
    /// Number of requests that run in parallel at full speed.
    pub slots: u32,
    /// Whether it rejects orders with an outdated epoch or sequence number.
    pub fenced: bool,
    /// For an unfenced runner: maximum time from sending an order to its effect. `None`: unbounded.
    #[serde(default)]
    pub order_life: Option<Millis>,
    /// Labels for selectors; `leaving=yes` takes it out of use.
    #[serde(default)]
    pub labels: Labels,
}

/// A service that is not a model engine.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Name in the path of requests, `/services/NAME`.
    pub name: Name,
    /// Upstreams that serve it.
    pub instances: Vec<Instance>,
    /// Labels for selectors.
    #[serde(default)]
    pub labels: Labels,
}

/// One instance of a service.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Instance {
    /// Name, unique among all upstreams.
    pub name: Name,
    /// Base URL, `http://IP:PORT`.
    pub url: Name,
    /// Failure domain.
    pub domain: Name,
    /// Maximum number of parallel requests.
    pub slots: u32,
    /// Labels; `leaving=yes` takes it out of use.
    #[serde(default)]
    pub labels: Labels,
}

/// Labels of a host; `gone=yes` states that it has been destroyed.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HostLabels {
    /// The host's name in the platform's list.
    pub name: Name,
    /// Labels for selectors.
    #[serde(default)]
    pub labels: Labels,
}

/// A rule that lets callers reach targets.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Admit {
    /// Selector over the callers' labels.
    pub callers: Selector,
    /// Selector over the labels of models, adapters and services.
    pub targets: Selector,
}

/// A rule that lets models be loaded on runners.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Place {
    /// Selector over the models' labels.
    pub models: Selector,
    /// Selector over the runners' labels.
    pub runners: Selector,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Name in `yields`, logs and metrics.
    pub name: Name,
    /// Selector over the merged labels of caller and target.
    pub select: Selector,
}

/// A priority rule between two classes.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Yield {
    /// The class that waits.
    pub low: Name,
    /// The class that is served first.
    pub high: Name,
}

/// Load limits of the weight store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Store {
    /// Maximum number of loads started in 10 seconds.
    pub loads_per_10s: u32,
    /// Maximum number of parallel loads.
    pub slots: u32,
}

impl Default for Store {
    fn default() -> Self {
        Self { loads_per_10s: 15, slots: 10 }
    }
}

/// A model, adapter or service that a request can address.
#[derive(Clone, Debug, PartialEq)]
pub struct Target {
    /// Name, by which requests are queued and demand is counted.
    pub name: Name,
    /// Ids of the entries that can serve it, preferred first; empty for a service.
    pub entries: Vec<Name>,
    /// Labels for selectors.
    pub labels: Labels,
}

/// A model version or adapter that a runner can load.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// `MODEL@VERSION`, or an adapter's name.
    pub id: Name,
    /// Id of the entry that must be resident on the same runner.
    pub base: Option<Name>,
    /// Memory in bytes.
    pub size: u64,
    /// Labels of the model or adapter.
    pub labels: Labels,
}

/// Returns the entry id of a model version.
pub fn entry_id(model: &str, version: &str) -> Name {
    format!("{model}@{version}").into()
}

/// Whether `labels` mark an upstream as leaving.
pub fn is_leaving(labels: &Labels) -> bool {
    labels.get("leaving").is_some_and(|v| &**v == "yes")
}

impl Model {
    fn target(&self) -> Target {
        let ids = self.versions.iter().rev().map(|v| entry_id(&self.name, &v.name));
        Target { name: self.name.clone(), entries: ids.collect(), labels: self.labels.clone() }
    }
}

impl Catalog {
    /// Returns all entries: model versions, then adapters.
    pub fn entries(&self) -> Vec<Entry> {
        let mut entries = Vec::new();
        for model in &self.models {
            for version in &model.versions {
                entries.push(Entry {
                    id: entry_id(&model.name, &version.name),
                    base: None,
                    size: version.size.0,
                    labels: model.labels.clone(),
                });
            }
        }
        for adapter in &self.adapters {
            entries.push(Entry {
                id: adapter.name.clone(),
                base: Some(adapter.base.clone()),
                size: adapter.size.0,
                labels: adapter.labels.clone(),
            });
        }
        entries
    }

    /// Returns the model or adapter called `name`; `MODEL@VERSION` selects that version only.
    pub fn model_target(&self, name: &str) -> Option<Target> {
        if let Some((model, version)) = name.split_once('@') {
            let model = self.models.iter().find(|m| &*m.name == model)?;
            model.versions.iter().find(|v| &*v.name == version)?;
            let mut target = model.target();
            target.entries = vec![name.into()];
            return Some(target);
        }
        if let Some(model) = self.models.iter().find(|m| &*m.name == name) {
            return Some(model.target());
        }
        let adapter = self.adapters.iter().find(|a| &*a.name == name)?;
        let entries = vec![adapter.name.clone()];
        Some(Target { name: adapter.name.clone(), entries, labels: adapter.labels.clone() })
    }

    /// Returns the service called `name`.
    pub fn service_target(&self, name: &str) -> Option<Target> {
        let service = self.services.iter().find(|s| &*s.name == name)?;
        let name = service.name.clone();
        Some(Target { name, entries: Vec::new(), labels: service.labels.clone() })
    }

    /// Whether a caller with labels `caller` may reach `target`.
    pub fn admits(&self, caller: &Labels, target: &Labels) -> bool {
        self.admit.iter().any(|a| a.callers.matches(caller) && a.targets.matches(target))
    }

    /// Whether an entry with labels `entry` may be loaded on a runner with labels `runner`.
    pub fn allows_placement(&self, entry: &Labels, runner: &Labels) -> bool {
        let allows = |p: &Place| p.models.matches(entry) && p.runners.matches(runner);
        self.place.is_empty() || self.place.iter().any(allows)
    }

    /// Whether requests for a target with `labels` run at most once.
    pub fn is_once(&self, labels: &Labels) -> bool {
        self.once.iter().any(|s| s.matches(labels))
    }

    /// Returns the name and rank of a request's class; lower ranks are served first.
    pub fn class_of(&self, caller: &Labels, target: &Labels) -> (Name, u8) {
        let merged = target.merged(caller);
        match self.classes.iter().find(|c| c.select.matches(&merged)) {
            Some(class) => (class.name.clone(), self.rank(&class.name, 0)),
            None => ("default".into(), 0),
        }
    }

    /// Length of the longest chain of classes that `class` yields to; `depth` bounds the recursion
    /// if the rules have a cycle.
    fn rank(&self, class: &str, depth: u8) -> u8 {
        if usize::from(depth) > self.yields.len() {
            return depth;
        }
        let rules = self.yields.iter().filter(|y| &*y.low == class);
        rules.map(|y| 1 + self.rank(&y.high, depth + 1)).max().unwrap_or(0)
    }
}
