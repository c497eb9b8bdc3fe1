//! The operators' configuration: declared things with labels, and selectors over the labels.

use crate::{Millis, Size};
use serde::{Deserialize, Serialize};
use vanetally_types::{Labels, Name, Selector};

/// A catalog as it stands in the platform's service.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Revision {
    /// Grows by one with each accepted change; 0 means none yet.
    pub number: u64,
    /// Names the change, so that a writer knows its own.
    pub change: Name,
    /// The changes before it, newest first, at most [`MAX_EARLIER`].
    #[serde(default)]
    pub earlier: Vec<Name>,
    /// The catalog of this revision.
    pub catalog: Catalog,
}

/// How many earlier changes a revision names.
pub const MAX_EARLIER: usize = 32;

/// Everything that operators declare.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Catalog {
    /// Who may call.
    pub callers: Vec<Caller>,
    /// Models with their versions.
    pub models: Vec<Model>,
    /// Adapters on model versions.
    pub adapters: Vec<Adapter>,
    /// Model engines.
    pub runners: Vec<Runner>,
    /// Plain services.
    pub services: Vec<Service>,
    /// Labels of our own hosts.
    pub hosts: Vec<HostLabels>,
    /// Which callers may reach which targets; nobody may unless a rule says so.
    pub admit: Vec<Admit>,
    /// Where models may live; anywhere when there are no rules.
    pub place: Vec<Place>,
    /// Kinds of requests, by the labels of caller and target; the first match counts.
    pub classes: Vec<Class>,
    /// Which class yields to which.
    pub yields: Vec<Yield>,
    /// Targets whose requests run at most once and need an id.
    pub once: Vec<Selector>,
    /// How fast models can be loaded.
    pub store: Store,
    /// Expected requests within deadline that a move must gain to be worth it.
    pub move_price: u32,
}

/// Somebody who may call, known by a token.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Caller {
    /// Name, used in logs and shares.
    pub name: Name,
    /// SHA-256 of the bearer token, in hex.
    pub token_sha256: Name,
    /// Labels for selectors.
    #[serde(default)]
    pub labels: Labels,
}

/// A model with its versions, oldest first; requests for the model go to the newest resident.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// Name as callers write it.
    pub name: Name,
    /// Declared versions, oldest first.
    pub versions: Vec<Version>,
    /// Labels for selectors.
    #[serde(default)]
    pub labels: Labels,
}

/// One version of a model.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Version {
    /// Name of the version; callers may write `MODEL@VERSION`.
    pub name: Name,
    /// Memory for weights and the KV cache kept for them.
    pub size: Size,
}

/// An adapter, resident beside its base.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Adapter {
    /// Name as callers write it.
    pub name: Name,
    /// The model version that it adapts, `MODEL@VERSION`.
    pub base: Name,
    /// Memory that it takes.
    pub size: Size,
    /// Labels for selectors.
    #[serde(default)]
    pub labels: Labels,
}

/// A model engine on its accelerators.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Runner {
    /// Name, unique among upstreams.
    pub name: Name,
    /// Base address, `http://IP:PORT`.
    pub url: Name,
    /// Failure domain.
    pub domain: Name,
    /// Memory for entries.
    pub capacity: Size,
    /// Requests that it runs at full speed at once.
    pub slots: u32,
    /// Whether it checks who gives it an order (epoch and sequence).
    pub fenced: bool,
    /// For a runner that does not check: no order is alive longer than this. None: no bound.
    #[serde(default)]
    pub order_life: Option<Millis>,
    /// Labels for selectors; `leaving=yes` takes it out of use.
    #[serde(default)]
    pub labels: Labels,
}

/// A plain service with its instances.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Name as callers write it in the path.
    pub name: Name,
    /// Where it runs.
    pub instances: Vec<Instance>,
    /// Labels for selectors.
    #[serde(default)]
    pub labels: Labels,
}

/// One instance of a plain service.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Instance {
    /// Name, unique among upstreams.
    pub name: Name,
    /// Base address, `http://IP:PORT`.
    pub url: Name,
    /// Failure domain.
    pub domain: Name,
    /// Requests at once.
    pub slots: u32,
    /// `leaving=yes` takes it out of use.
    #[serde(default)]
    pub labels: Labels,
}

/// Labels of one of our hosts; `gone=yes` states that it has been destroyed.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HostLabels {
    /// The host's name in the platform's list.
    pub name: Name,
    /// Its labels.
    #[serde(default)]
    pub labels: Labels,
}

/// Callers that may reach targets.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Admit {
    /// Over the callers' labels.
    pub callers: Selector,
    /// Over the labels of models, adapters and services.
    pub targets: Selector,
}

/// Models that may live on runners.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Place {
    /// Over the models' labels.
    pub models: Selector,
    /// Over the runners' labels.
    pub runners: Selector,
}

/// A kind of requests.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Name used in `yields`, logs and metrics.
    pub name: Name,
    /// Over the labels of the caller and the target together.
    pub select: Selector,
}

/// One class yields to another.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Yield {
    /// The class that waits.
    pub low: Name,
    /// The class that goes first.
    pub high: Name,
}

/// The weight store's limits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Store {
    /// Loads started in 10 seconds.
    pub loads_per_10s: u32,
    /// Loads at once.
    pub slots: u32,
}

impl Default for Store {
    fn default() -> Self {
        Self { loads_per_10s: 15, slots: 10 }
    }
}

/// What a caller can ask for.
#[derive(Clone, Debug, PartialEq)]
pub struct Target {
    /// Model, adapter or service name: the unit of queueing and demand.
    pub name: Name,
    /// Entries that can serve it, preferred first; empty for a service.
    pub entries: Vec<Name>,
    /// Labels that selectors look at.
    pub labels: Labels,
}

/// Something that takes memory on a runner.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// `MODEL@VERSION`, or an adapter's name.
    pub id: Name,
    /// The entry that must be resident beside it.
    pub base: Option<Name>,
    /// Memory in bytes.
    pub size: u64,
    /// Labels of the model or adapter.
    pub labels: Labels,
}

/// The id of a model version as an entry.
pub fn entry_id(model: &str, version: &str) -> Name {
    format!("{model}@{version}").into()
}

/// Whether `labels` say that an upstream is leaving.
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
    /// All entries: versions of models, then adapters.
    pub fn entries(&self) -> Vec<Entry> {
        let mut all = Vec::new();
        for model in &self.models {
            for version in &model.versions {
                all.push(Entry {
                    id: entry_id(&model.name, &version.name),
                    base: None,
                    size: version.size.0,
                    labels: model.labels.clone(),
                });
            }
        }
        for adapter in &self.adapters {
            all.push(Entry {
                id: adapter.name.clone(),
                base: Some(adapter.base.clone()),
                size: adapter.size.0,
                labels: adapter.labels.clone(),
            });
        }
        all
    }

    /// The model or adapter that `name` means; `MODEL@VERSION` means just that version.
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

    /// The service that `name` means.
    pub fn service_target(&self, name: &str) -> Option<Target> {
        let service = self.services.iter().find(|s| &*s.name == name)?;
        let name = service.name.clone();
        Some(Target { name, entries: Vec::new(), labels: service.labels.clone() })
    }

    /// Whether a caller with labels `caller` may reach `target`.
    pub fn admits(&self, caller: &Labels, target: &Labels) -> bool {
        self.admit.iter().any(|a| a.callers.matches(caller) && a.targets.matches(target))
    }

    /// Whether an entry with labels `entry` may live on a runner with labels `runner`.
    pub fn allows_placement(&self, entry: &Labels, runner: &Labels) -> bool {
        let matches = |p: &Place| p.models.matches(entry) && p.runners.matches(runner);
        self.place.is_empty() || self.place.iter().any(matches)
    }

    /// Whether requests for a target with `labels` run at most once.
    pub fn is_once(&self, labels: &Labels) -> bool {
        self.once.iter().any(|s| s.matches(labels))
    }

    /// The class of a request: name and rank; a lower rank goes first.
    pub fn class_of(&self, caller: &Labels, target: &Labels) -> (Name, u8) {
        let both = target.merged(caller);
        match self.classes.iter().find(|c| c.select.matches(&both)) {
            Some(class) => (class.name.clone(), self.rank(&class.name, 0)),
            None => ("default".into(), 0),
        }
    }

    /// How many classes, one above the other, `class` yields to; `depth` bounds a cycle.
    fn rank(&self, class: &str, depth: u8) -> u8 {
        if usize::from(depth) > self.yields.len() {
            return depth;
        }
        let above = self.yields.iter().filter(|y| &*y.low == class);
        above.map(|y| 1 + self.rank(&y.high, depth + 1)).max().unwrap_or(0)
    }
}
