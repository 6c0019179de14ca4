//! The routes of a document.

use std::collections::HashMap;
use std::sync::Arc;

use super::MatchedRoute;
use super::PathPattern;
use super::RouteMatch;
use super::path_pattern::count_segments;
use super::path_pattern::decode_segment;
use crate::document::EnvironmentDocument;
use crate::document::spec::Method;
use crate::document::spec::RouteSpec;
use crate::document::spec::ServiceSpec;

/// Finds the route of a request among those of a document.
#[derive(Debug, Default)]
pub struct RouteTable {
    entries: HashMap<(Method, usize), Vec<Entry>>,
}

#[derive(Debug)]
struct Entry {
    pattern: PathPattern,
    service: Arc<ServiceSpec>,
    route: Arc<RouteSpec>,
}

impl RouteTable {
    /// Builds the table from a document.
    pub fn new(document: &EnvironmentDocument) -> Self {
        let mut table = Self::default();
        for spec in &document.services {
            let service = Arc::new(spec.clone());
            for route in &spec.routes {
                table.insert(&service, route);
            }
        }
        table
    }

    /// Finds the route of a request by its method and path, without the query.
    pub fn find(&self, method: Method, path: &str) -> RouteMatch {
        let bucket = (method, count_segments(path));
        let Some(entries) = self.entries.get(&bucket) else {
            return RouteMatch::NoRoute;
        };
        for entry in entries {
            if let Some(key) = entry.pattern.matches(path) {
                return entry.found(key);
            }
        }
        RouteMatch::NoRoute
    }

    fn insert(&mut self, service: &Arc<ServiceSpec>, route: &RouteSpec) {
        let pattern = PathPattern::new(&route.path);
        let bucket = (route.method, pattern.length());
        self.entries.entry(bucket).or_default().push(Entry {
            pattern,
            service: Arc::clone(service),
            route: Arc::new(route.clone()),
        });
    }
}

impl Entry {
    fn found(&self, key: Option<&str>) -> RouteMatch {
        let decoded = match key.map(decode_segment) {
            Some(None) => return RouteMatch::BadPath,
            Some(decoded) => decoded,
            None => None,
        };
        RouteMatch::Found(MatchedRoute {
            service: Arc::clone(&self.service),
            route: Arc::clone(&self.route),
            key: decoded,
        })
    }
}
