//! The state that ingress keeps between requests.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use quetzalrack_core::boundary::Clock;
use quetzalrack_core::ids::NodeName;
use quetzalrack_core::time::Moment;
use quetzalrack_core::traffic::balancing::LoadBalancer;
use reqwest::Client;
use reqwest::redirect::Policy;
use tokio::sync::Semaphore;

use super::route_cache::RouteCache;
use super::second_attempts::SecondAttempts;
use crate::traffic::config::TrafficConfig;

/// How long opening a connection to another node may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// The interval of TCP keepalive probes on a silent connection.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(5);
/// The most idle connections kept to each other node.
const MAX_IDLE_CONNECTIONS: usize = 64;
/// The most requests that wait for an owner at once. Further ones are refused, so that waiting
/// requests for a slice without an owner do not exhaust the node.
const MAX_OWNER_WAITERS: usize = 512;

/// Holds the connections to other nodes, the load balancer and the budgets of second attempts.
pub(in crate::traffic) struct Ingress {
    pub(super) client: Client,
    pub(super) routes: RouteCache,
    pub(super) retries: SecondAttempts,
    pub(super) owner_waiters: Semaphore,
    clock: Arc<dyn Clock>,
    balancer: Mutex<LoadBalancer>,
}

/// Counts a request as outstanding at a node until it is dropped.
pub(super) struct Outstanding<'a> {
    ingress: &'a Ingress,
    node: &'a NodeName,
}

impl Ingress {
    pub(in crate::traffic) fn new(
        config: &TrafficConfig,
        clock: Arc<dyn Clock>,
    ) -> Result<Self, reqwest::Error> {
        let client = Client::builder()
            .no_proxy()
            .redirect(Policy::none())
            .retry(reqwest::retry::never())
            .connect_timeout(CONNECT_TIMEOUT)
            .tcp_keepalive(KEEPALIVE_INTERVAL)
            .tcp_nodelay(true)
            .pool_max_idle_per_host(MAX_IDLE_CONNECTIONS)
            .http1_only()
            .build()?;
        let balancer = LoadBalancer::new(config.zone.clone(), config.choice, config.seed);
        Ok(Self {
            client,
            routes: RouteCache::default(),
            retries: SecondAttempts::default(),
            owner_waiters: Semaphore::new(MAX_OWNER_WAITERS),
            clock,
            balancer: Mutex::new(balancer),
        })
    }

    pub(super) fn balancer(&self) -> MutexGuard<'_, LoadBalancer> {
        self.balancer.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn outstanding<'a>(&'a self, node: &'a NodeName) -> Outstanding<'a> {
        self.balancer().record_sent(node);
        Outstanding {
            ingress: self,
            node,
        }
    }

    pub(super) async fn sleep_until(&self, moment: Moment) {
        tokio::time::sleep(moment.since(self.clock.now())).await;
    }
}

impl Drop for Outstanding<'_> {
    fn drop(&mut self) {
        self.ingress.balancer().record_ended(self.node);
    }
}
