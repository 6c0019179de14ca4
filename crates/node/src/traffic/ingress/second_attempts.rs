//! Retry budgets by service and hedge delays by route.

use std::collections::HashMap;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use quetzalrack_core::ids::RouteName;
use quetzalrack_core::ids::ServiceName;
use quetzalrack_core::time::Moment;
use quetzalrack_core::traffic::retry::HedgePolicy;
use quetzalrack_core::traffic::retry::RetryBudget;
use quetzalrack_core::traffic::routes::MatchedRoute;

/// The most nodes to which one request is sent, hedges included.
pub(super) const MAX_ATTEMPTS: usize = 3;

/// Holds one budget per service, which its retries and hedges share, and one hedge delay per route.
#[derive(Debug, Default)]
pub(super) struct SecondAttempts {
    services: Mutex<HashMap<ServiceName, ServiceState>>,
}

#[derive(Debug, Default)]
struct ServiceState {
    budget: RetryBudget,
    hedges: HashMap<RouteName, HedgePolicy>,
}

impl SecondAttempts {
    /// Takes one second attempt from the service's budget; false if the budget is used up.
    pub(super) fn withdraw(&self, service: &ServiceName) -> bool {
        let mut services = self.lock();
        let state = services.entry(service.clone()).or_default();
        state.budget.withdraw()
    }

    /// Records the latency of an answered request and adds to the service's budget.
    pub(super) fn record(&self, matched: &MatchedRoute, now: Moment, latency: Duration) {
        let mut services = self.lock();
        let state = services.entry(matched.service.name.clone()).or_default();
        state.budget.deposit();
        let hedge = state.hedges.entry(matched.route.name.clone()).or_default();
        hedge.record(now, latency);
    }

    /// Returns how long an attempt may take before a hedge is sent.
    pub(super) fn hedge_delay(&self, matched: &MatchedRoute) -> Option<Duration> {
        let services = self.lock();
        let state = services.get(&matched.service.name)?;
        state.hedges.get(&matched.route.name)?.delay()
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<ServiceName, ServiceState>> {
        self.services.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
