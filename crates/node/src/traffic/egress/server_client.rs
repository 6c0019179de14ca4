//! HTTP connections to the backend server beside the node.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use arc_swap::ArcSwap;
use http::Method;
use http::Request;
use quetzalrack_core::cluster::Announcement;
use quetzalrack_core::ids::AttemptId;
use reqwest::Body;
use tokio::time::timeout;

use crate::server_calls::PoolLimits;
use crate::server_calls::ServerPool;
use crate::traffic::hop::buffer_body;

/// How long opening a connection may take. It is below the lease's margin, so that a request which
/// the lease allowed is written before the lease ends for its successor.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(50);
/// How long the backend server may take to confirm a cancellation or a probe.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(2);
/// Connections reserved for grants, cancellations and probes.
const RESERVED_CONNECTIONS: u32 = 8;
/// Connections kept for cancellations.
const MAX_IDLE_CONTROL: usize = 2;
/// The longest body of the response to a cancellation or a probe.
const MAX_CONTROL_BYTES: usize = 64 * 1024;

/// Keeps open connections to the backend server, fewer than it accepts.
pub(super) struct ServerClient {
    requests: ArcSwap<ServerPool>,
    control: Arc<ServerPool>,
    max_idle: AtomicUsize,
}

impl ServerClient {
    pub(super) fn new() -> Self {
        Self {
            requests: ArcSwap::new(request_pool(0)),
            control: ServerPool::new(PoolLimits {
                connect_timeout: CONNECT_TIMEOUT,
                max_idle: MAX_IDLE_CONTROL,
                body_bytes: Some(MAX_CONTROL_BYTES as u64),
            }),
            max_idle: AtomicUsize::new(0),
        }
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
        let max_idle = self.max_idle.load(Ordering::Relaxed);
        self.requests.store(request_pool(max_idle));
    }

    pub(super) fn request_pool(&self) -> Arc<ServerPool> {
        self.requests.load_full()
    }

    /// Asks the backend server to cancel an attempt; tells whether it confirmed.
    pub(super) async fn cancel(&self, server: SocketAddr, attempt: AttemptId) -> bool {
        let path = format!("/control/cancellations/{attempt}");
        let Ok(request) = control_request(Method::POST, &path) else {
            return false;
        };
        let sent = timeout(CONTROL_TIMEOUT, self.control.send(server, request)).await;
        matches!(sent, Ok(Ok(response)) if response.status().is_success())
    }

    /// Opens connections in advance, so that requests don't wait for them.
    pub(super) async fn open_connections(&self, server: SocketAddr, count: usize) {
        let pool = self.request_pool();
        let probes = (0..count).map(|_| timeout(CONTROL_TIMEOUT, probe(&pool, server)));
        futures::future::join_all(probes).await;
    }
}

/// Asks the backend server for its health. Only a connection whose response was read completely returns to the pool.
async fn probe(pool: &Arc<ServerPool>, server: SocketAddr) {
    let Ok(request) = control_request(Method::GET, "/control/health") else {
        return;
    };
    if let Ok(mut response) = pool.send(server, request).await {
        let _ = buffer_body(&mut response, MAX_CONTROL_BYTES).await;
    }
}

fn control_request(method: Method, path: &str) -> http::Result<Request<Body>> {
    Request::builder()
        .method(method)
        .uri(path)
        .body(Body::default())
}

fn request_pool(max_idle: usize) -> Arc<ServerPool> {
    ServerPool::new(PoolLimits {
        connect_timeout: CONNECT_TIMEOUT,
        max_idle,
        body_bytes: None,
    })
}
