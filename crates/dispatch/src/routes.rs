//! Matching of requests to routes.

use std::{collections::HashMap, rc::Rc};
use vanetally_ports::{Configuration, Route, Target};
use vanetally_types::{Name, hash64};

/// The routes of one configuration, by host name.
#[derive(Clone, Debug, Default)]
pub struct RouteIndex {
    /// Longest prefix first.
    by_host: HashMap<Name, Vec<Rc<Route>>>,
}

impl RouteIndex {
    /// Indexes the routes of `configuration`.
    pub fn new(configuration: &Configuration) -> Self {
        let mut by_host: HashMap<Name, Vec<Rc<Route>>> = HashMap::new();
        for route in &configuration.routes {
            by_host.entry(route.host.clone()).or_default().push(Rc::new(route.clone()));
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        Self { by_host }
    }

    /// Returns the route with the longest prefix of `path`.
    pub fn find(&self, host: &str, path: &str) -> Option<&Rc<Route>> {
        self.by_host.get(host)?.iter().find(|route| path.starts_with(&*route.prefix))
    }
}

/// Returns the target for the request `id`. Targets are chosen by a hash of the id, in proportion
/// to their weights.
pub(crate) fn target<'a>(route: &'a Route, id: &str) -> Option<&'a Target> {
    let total: u64 = route.targets.iter().map(|target| u64::from(target.weight)).sum();
    let mut point = hash64(id.as_bytes()) % total.max(1);
    route.targets.iter().find(|target| {
        let weight = u64::from(target.weight);
        let is_here = point < weight;
        point = point.saturating_sub(weight);
        is_here
    })
}
