//! Lookup of a request's route.

use std::collections::HashMap;
use std::sync::Arc;

use crate::model::Route;
use crate::model::RoutingConfig;

/// Finds routes by host and longest path prefix.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    /// The routes of each host, longest prefix first.
    hosts: HashMap<String, Vec<Arc<Route>>>,
}

impl RouteTable {
    /// Indexes the routes of a configuration.
    pub fn new(config: &RoutingConfig) -> Self {
        let mut hosts: HashMap<String, Vec<Arc<Route>>> = HashMap::new();
        for route in &config.routes {
            let host = route.host.to_ascii_lowercase();
            hosts.entry(host).or_default().push(Arc::new(route.clone()));
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        Self { hosts }
    }

    /// Finds the route of a request to `host`, with or without a port, and `path`.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let routes = match self.hosts.get(name) {
            Some(routes) => routes,
            None => self.hosts.get(&name.to_ascii_lowercase())?,
        };
        routes.iter().find(|route| path.starts_with(&route.prefix))
    }
}
