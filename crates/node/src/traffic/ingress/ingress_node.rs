//! What ingress keeps between requests.

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

/// How long a new connection to another node may take.
const CONNECT: Duration = Duration::from_millis(250);
/// How often the host checks that the far side of a silent connection still exists.
const KEEPALIVE: Duration = Duration::from_secs(5);
/// Idle connections kept to each other node.
const IDLE: usize = 64;
/// How many requests may wait for an owner at once; the others are refused, so that an ownerless
/// slice does not fill the node with waiting requests.
const WAITERS: usize = 512;

/// Keeps connections to other nodes, the choice among them and the budgets of second attempts.
pub(in crate::traffic) struct Ingress {
    pub(super) client: Client,
    pub(super) routes: RouteCache,
    pub(super) seconds: SecondAttempts,
    pub(super) waiters: Semaphore,
    clock: Arc<dyn Clock>,
    chooser: Mutex<LoadBalancer>,
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
            .connect_timeout(CONNECT)
            .tcp_keepalive(KEEPALIVE)
            .tcp_nodelay(true)
            .pool_max_idle_per_host(IDLE)
            .http1_only()
            .build()?;
        let chooser = LoadBalancer::new(config.zone.clone(), config.choice, config.seed);
        Ok(Self {
            client,
            routes: RouteCache::default(),
            seconds: SecondAttempts::default(),
            waiters: Semaphore::new(WAITERS),
            clock,
            chooser: Mutex::new(chooser),
        })
    }

    pub(super) fn chooser(&self) -> MutexGuard<'_, LoadBalancer> {
        self.chooser.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn outstanding<'a>(&'a self, node: &'a NodeName) -> Outstanding<'a> {
        self.chooser().record_sent(node);
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
        self.ingress.chooser().record_ended(self.node);
    }
}
