//! Counts of request outcomes, as seen by callers.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::RwLock;
use std::time::Duration;

use quetzalrack_core::burn::RequestOutcome;
use quetzalrack_core::burn::RouteCounts;
use quetzalrack_core::burn::RouteSample;
use quetzalrack_core::ids::RouteName;
use quetzalrack_core::ids::ServiceName;
use quetzalrack_core::traffic::routes::MatchedRoute;

/// Counts outcomes and latencies by route since the process started.
#[derive(Debug, Default)]
pub(super) struct Counters {
    routes: RwLock<BTreeMap<RouteKey, Arc<Mutex<RouteCounts>>>>,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct RouteKey {
    service: ServiceName,
    route: RouteName,
}

impl Counters {
    /// Counts one request with the outcome and latency that its caller saw.
    pub(super) fn record(
        &self,
        matched: &MatchedRoute,
        outcome: RequestOutcome,
        latency: Duration,
    ) {
        let key = RouteKey {
            service: matched.service.name.clone(),
            route: matched.route.name.clone(),
        };
        let known = self
            .routes
            .read()
            .unwrap_or_else(PoisonError::into_inner)
            .get(&key)
            .cloned();
        let counts = known.unwrap_or_else(|| {
            let mut routes = self.routes.write().unwrap_or_else(PoisonError::into_inner);
            Arc::clone(routes.entry(key).or_default())
        });
        let mut counts = counts.lock().unwrap_or_else(PoisonError::into_inner);
        counts.record(outcome, latency);
    }

    /// Returns a copy of the counts of every route.
    pub(super) fn sample(&self) -> Vec<RouteSample> {
        let routes = self.routes.read().unwrap_or_else(PoisonError::into_inner);
        routes
            .iter()
            .map(|(key, counts)| RouteSample {
                service: key.service.clone(),
                route: key.route.clone(),
                counts: counts
                    .lock()
                    .unwrap_or_else(PoisonError::into_inner)
                    .clone(),
            })
            .collect()
    }
}
