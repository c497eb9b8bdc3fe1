//! Human-readable differences between two catalogs.

use crate::Catalog;
use serde_json::Value;
use std::collections::BTreeMap;

/// Returns a line for each difference: `- path value` if removed, `+ path value` if added.
///
/// List elements with a name are matched by name, so that reordering is no difference.
pub fn diff(old: &Catalog, new: &Catalog) -> Vec<String> {
    let old = flatten(&serde_json::to_value(old).unwrap_or_default());
    let new = flatten(&serde_json::to_value(new).unwrap_or_default());
    let mut lines = Vec::new();
    for (path, value) in &old {
        if new.get(path) != Some(value) {
            lines.push((path, format!("- {path} {value}")));
        }
    }
    for (path, value) in &new {
        if old.get(path) != Some(value) {
            lines.push((path, format!("+ {path} {value}")));
        }
    }
    lines.sort_by(|a, b| a.0.cmp(b.0));
    lines.into_iter().map(|(_, line)| line).collect()
}

fn flatten(value: &Value) -> BTreeMap<String, String> {
    let mut flat = BTreeMap::new();
    walk(value, String::new(), &mut flat);
    flat
}

fn walk(value: &Value, path: String, flat: &mut BTreeMap<String, String>) {
    match value {
        Value::Object(map) => {
            for (key, value) in map {
                walk(value, join(&path, key), flat);
            }
        }
        Value::Array(list) => {
            for (index, value) in list.iter().enumerate() {
                let index = index.to_string();
                let key = value.get("name").and_then(Value::as_str).unwrap_or(&index);
                walk(value, join(&path, key), flat);
            }
        }
        scalar => {
            flat.insert(path, scalar.to_string());
        }
    }
}

fn join(path: &str, key: &str) -> String {
    if path.is_empty() { key.to_owned() } else { format!("{path}.{key}") }
}
