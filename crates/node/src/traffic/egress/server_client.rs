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
const CONNECT_TIMEOUT: Duration = Duration::from_millis(50);
/// The interval of TCP keepalive probes on a silent connection.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(5);
/// How long the backend server may take to confirm a cancellation or a probe.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(2);
/// Connections reserved for grants, cancellations and probes.
const RESERVED_CONNECTIONS: u32 = 8;

/// Keeps open connections to the backend server, fewer than it accepts.
pub(super) struct ServerClient {
    request_client: ArcSwap<Client>,
    control_client: Client,
    max_idle: AtomicUsize,
}

impl ServerClient {
    pub(super) fn new() -> Result<Self, reqwest::Error> {
        Ok(Self {
            request_client: ArcSwap::from_pointee(build_client(0)?),
            control_client: build_client(2)?,
            max_idle: AtomicUsize::new(0),
        })
    }

    /// Limits the idle connections by what a backend server accepts: the connections in use never
    /// exceed its slots, so the idle ones may use the rest.
    pub(super) fn limit_idle(&self, server: &Announcement) {
        let available = server
            .connections
            .0
            .saturating_sub(server.slots.0 + RESERVED_CONNECTIONS);
        let idle = available.min(server.slots.0).max(1) as usize;
        self.max_idle.store(idle, Ordering::Relaxed);
        self.replace_pool();
    }

    /// Replaces the connection pool. After a response to another attempt no connection of the old
    /// pool is reused, since the next response on it would belong to another attempt as well.
    pub(super) fn replace_pool(&self) {
        match build_client(self.max_idle.load(Ordering::Relaxed)) {
            Ok(client) => self.request_client.store(Arc::new(client)),
            Err(error) => {
                log::error!(event = "pool_not_renewed", error:% = error; "the connection pool was not replaced")
            }
        }
    }

    pub(super) fn request_client(&self) -> Arc<Client> {
        self.request_client.load_full()
    }

    /// Asks the backend server to cancel an attempt; tells whether it confirmed.
    pub(super) async fn cancel(&self, server: SocketAddr, attempt: AttemptId) -> bool {
        let url = format!("http://{server}/control/cancellations/{attempt}");
        let response = self
            .control_client
            .post(url)
            .timeout(CONTROL_TIMEOUT)
            .send()
            .await;
        response.is_ok_and(|response| response.status().is_success())
    }

    /// Opens connections in advance, so that requests don't wait for them.
    pub(super) async fn open_connections(&self, server: SocketAddr, count: usize) {
        let client = self.request_client();
        let url = format!("http://{server}/control/health");
        let probes = (0..count).map(|_| {
            let probe = client.get(&url).timeout(CONTROL_TIMEOUT).send();
            async move {
                if let Ok(response) = probe.await {
                    // Only a connection whose response was read completely returns to the pool.
                    let _ = response.bytes().await;
                }
            }
        });
        futures::future::join_all(probes).await;
    }
}

fn build_client(max_idle: usize) -> Result<Client, reqwest::Error> {
    Client::builder()
        .no_proxy()
        .redirect(Policy::none())
        // The library must not retry on its own: only the retry budget and the idempotency store
        // decide on second attempts.
        .retry(reqwest::retry::never())
        .connect_timeout(CONNECT_TIMEOUT)
        .tcp_keepalive(KEEPALIVE_INTERVAL)
        .tcp_nodelay(true)
        .pool_max_idle_per_host(max_idle)
        .http1_only()
        .build()
}
