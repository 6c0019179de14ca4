//! HTTP connections to the backend server beside the node.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use arc_swap::ArcSwap;
use quetzalrack_core::cluster::Announcement;
use quetzalrack_core::ids::AttemptId;
use reqwest::Client;
use reqwest::redirect::Policy;

/// How long opening a connection may take. It is below the lease's margin, so that a request which
/// the lease allowed is written before the lease ends for its successor.
const CONNECT: Duration = Duration::from_millis(50);
/// The interval of TCP keepalive probes on a silent connection.
const KEEPALIVE: Duration = Duration::from_secs(5);
/// How long the backend server may take to confirm a cancellation or a probe.
const CONTROL: Duration = Duration::from_secs(2);
/// Connections reserved for grants, cancellations and probes.
const RESERVED: u32 = 8;

/// Keeps open connections to the backend server, fewer than it accepts.
pub(super) struct BackendLink {
    requests: ArcSwap<Client>,
    control: Client,
    idle: AtomicUsize,
}

impl BackendLink {
    pub(super) fn new() -> Result<Self, reqwest::Error> {
        Ok(Self {
            requests: ArcSwap::from_pointee(build(0)?),
            control: build(2)?,
            idle: AtomicUsize::new(0),
        })
    }

    /// Limits the idle connections by what a backend server accepts: the connections in use never
    /// exceed its slots, so the idle ones may use the rest.
    pub(super) fn fit(&self, server: &Announcement) {
        let left = server
            .connections
            .0
            .saturating_sub(server.slots.0 + RESERVED);
        let idle = left.min(server.slots.0).max(1) as usize;
        self.idle.store(idle, Ordering::Relaxed);
        self.renew();
    }

    /// Replaces the connection pool. After a response to another attempt no connection of the old
    /// pool is reused, since the next response on it would belong to another attempt as well.
    pub(super) fn renew(&self) {
        match build(self.idle.load(Ordering::Relaxed)) {
            Ok(client) => self.requests.store(Arc::new(client)),
            Err(error) => {
                log::error!(event = "pool_not_renewed", error:% = error; "the connection pool was not replaced")
            }
        }
    }

    pub(super) fn requests(&self) -> Arc<Client> {
        self.requests.load_full()
    }

    /// Asks the backend server to cancel an attempt; tells whether it confirmed.
    pub(super) async fn cancel(&self, server: SocketAddr, attempt: AttemptId) -> bool {
        let url = format!("http://{server}/control/cancellations/{attempt}");
        let answer = self.control.post(url).timeout(CONTROL).send().await;
        answer.is_ok_and(|answer| answer.status().is_success())
    }

    /// Opens connections in advance, so that requests don't wait for them.
    pub(super) async fn warm(&self, server: SocketAddr, count: usize) {
        let client = self.requests();
        let url = format!("http://{server}/control/health");
        let probes = (0..count).map(|_| {
            let probe = client.get(&url).timeout(CONTROL).send();
            async move {
                if let Ok(answer) = probe.await {
                    // Only a connection whose response was read completely returns to the pool.
                    let _ = answer.bytes().await;
                }
            }
        });
        futures::future::join_all(probes).await;
    }
}

fn build(idle: usize) -> Result<Client, reqwest::Error> {
    Client::builder()
        .no_proxy()
        .redirect(Policy::none())
        // The library must not retry on its own: only the retry budget and the idempotency store
        // decide on second attempts.
        .retry(reqwest::retry::never())
        .connect_timeout(CONNECT)
        .tcp_keepalive(KEEPALIVE)
        .tcp_nodelay(true)
        .pool_max_idle_per_host(idle)
        .http1_only()
        .build()
}
