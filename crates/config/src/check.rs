//! Validation of a catalog: names, references, sizes, addresses and cycles.

use crate::catalog::{Catalog, Entry};
use std::collections::BTreeSet;
use vanetally_types::Name;

/// Maximum size of a catalog as JSON; the platform stores it as a single value.
pub const MAX_CATALOG_BYTES: usize = 1_000_000;

/// Returns one line for each fault in `catalog`; empty if it is valid.
pub fn check(catalog: &Catalog) -> Vec<String> {
    let mut faults = Vec::new();
    check_names(catalog, &mut faults);
    check_callers(catalog, &mut faults);
    check_runners(catalog, &mut faults);
    check_services(catalog, &mut faults);
    check_entries(catalog, &mut faults);
    check_yields(catalog, &mut faults);
    check_size(catalog, &mut faults);
    faults
}

fn check_unique_names<'a>(
    kind: &str,
    names: impl Iterator<Item = &'a Name>,
    faults: &mut Vec<String>,
) {
    let mut seen = BTreeSet::new();
    for name in names {
        let allowed = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
        if name.is_empty() || !name.chars().all(allowed) {
            faults.push(format!("{kind} `{name}`: use letters, digits, `-`, `_` and `.`"));
        }
        if !seen.insert(name) {
            faults.push(format!("{kind} `{name}`: declared twice"));
        }
    }
}

fn check_names(catalog: &Catalog, faults: &mut Vec<String>) {
    check_unique_names("caller", catalog.callers.iter().map(|c| &c.name), faults);
    let models = catalog.models.iter().map(|m| &m.name);
    let adapters = catalog.adapters.iter().map(|a| &a.name);
    check_unique_names("model or adapter", models.chain(adapters), faults);
    check_unique_names("service", catalog.services.iter().map(|s| &s.name), faults);
    let runners = catalog.runners.iter().map(|r| &r.name);
    let instances = catalog.services.iter().flat_map(|s| &s.instances).map(|i| &i.name);
    check_unique_names("upstream", runners.chain(instances), faults);
    check_unique_names("host", catalog.hosts.iter().map(|h| &h.name), faults);
    check_unique_names("class", catalog.classes.iter().map(|c| &c.name), faults);
}

fn check_callers(catalog: &Catalog, faults: &mut Vec<String>) {
    for caller in &catalog.callers {
        let hash = &caller.token_sha256;
        if hash.len() != 64 || !hash.chars().all(|c| c.is_ascii_hexdigit()) {
            faults.push(format!("caller `{}`: token_sha256 must be 64 hex digits", caller.name));
        }
    }
}

fn check_url(kind: &str, name: &str, url: &str, faults: &mut Vec<String>) {
    let address = url.strip_prefix("http://").map(|a| a.trim_end_matches('/'));
    if address.is_none_or(|a| a.parse::<std::net::SocketAddr>().is_err()) {
        faults.push(format!("{kind} `{name}`: url `{url}` must be http://IP:PORT"));
    }
}

fn check_runners(catalog: &Catalog, faults: &mut Vec<String>) {
    for runner in &catalog.runners {
        check_url("runner", &runner.name, &runner.url, faults);
        if runner.slots == 0 {
            faults.push(format!("runner `{}`: slots must be at least 1", runner.name));
        }
    }
    if catalog.store.loads_per_10s == 0 || catalog.store.slots == 0 {
        faults.push("store: loads_per_10s and slots must be at least 1".into());
    }
}

fn check_services(catalog: &Catalog, faults: &mut Vec<String>) {
    for service in &catalog.services {
        if service.instances.is_empty() {
            faults.push(format!("service `{}`: has no instance", service.name));
        }
        for instance in &service.instances {
            check_url("instance", &instance.name, &instance.url, faults);
            if instance.slots == 0 {
                faults.push(format!("instance `{}`: slots must be at least 1", instance.name));
            }
        }
    }
}

fn check_entries(catalog: &Catalog, faults: &mut Vec<String>) {
    for model in &catalog.models {
        if model.versions.is_empty() {
            faults.push(format!("model `{}`: has no version", model.name));
        }
        let names = model.versions.iter().map(|v| &v.name);
        check_unique_names(&format!("version of model `{}`", model.name), names, faults);
    }
    let entries = catalog.entries();
    for entry in &entries {
        let base = entry.base.as_ref().map(|id| entries.iter().find(|e| e.id == *id));
        match base {
            Some(None) => faults.push(format!("adapter `{}`: its base is not declared", entry.id)),
            Some(Some(base)) => check_memory(catalog, entry, base.size, faults),
            None => check_memory(catalog, entry, 0, faults),
        }
    }
}

fn check_memory(catalog: &Catalog, entry: &Entry, base_size: u64, faults: &mut Vec<String>) {
    if catalog.runners.is_empty() {
        return;
    }
    let fits = catalog.runners.iter().any(|r| {
        catalog.allows_placement(&entry.labels, &r.labels) && entry.size + base_size <= r.capacity.0
    });
    if !fits {
        faults.push(format!("`{}`: no runner that may hold it has the memory", entry.id));
    }
}

fn check_yields(catalog: &Catalog, faults: &mut Vec<String>) {
    for rule in &catalog.yields {
        for name in [&rule.low, &rule.high] {
            if !catalog.classes.iter().any(|c| c.name == *name) {
                faults.push(format!("yields: class `{name}` is not declared"));
            }
        }
        if yields_to(catalog, &rule.high, &rule.low, catalog.yields.len()) {
            faults.push(format!("yields: `{}` and `{}` yield to each other", rule.low, rule.high));
        }
    }
}

/// Whether class `from` yields to class `to`, directly or through other classes.
fn yields_to(catalog: &Catalog, from: &str, to: &str, depth: usize) -> bool {
    if from == to {
        return true;
    }
    let rules = catalog.yields.iter().filter(|y| &*y.low == from);
    depth > 0 && rules.into_iter().any(|y| yields_to(catalog, &y.high, to, depth - 1))
}

fn check_size(catalog: &Catalog, faults: &mut Vec<String>) {
    let size = serde_json::to_vec(catalog).map_or(usize::MAX, |json| json.len());
    if size > MAX_CATALOG_BYTES {
        faults.push(format!(
            "the catalog takes {size} bytes as JSON; at most {MAX_CATALOG_BYTES} fit"
        ));
    }
}
