//! Sends grants to the backend server beside the node over HTTP.

use std::sync::Arc;
use std::time::Duration;

use http::Method;
use http::Request;
use http::StatusCode;
use http::header;
use quetzalrack_core::boundary::BackendControl;
use quetzalrack_core::boundary::BoxFuture;
use quetzalrack_core::boundary::GrantOrder;
use quetzalrack_core::boundary::GrantOutcome;
use quetzalrack_core::ids::Fence;
use reqwest::Body;
use serde::Deserialize;

use crate::server_calls::PoolLimits;
use crate::server_calls::ServerPool;
use crate::shared::SharedView;

/// Timeout of sending a grant. It is much shorter than a lease, and the ownership state machine
/// retries the grant.
const GRANT_TIMEOUT: Duration = Duration::from_millis(400);
/// Connections kept for grants.
const MAX_IDLE: usize = 2;
/// The longest body of the response to a grant.
const MAX_BODY_BYTES: u64 = 64 * 1024;

/// Sends grants to the backend server that announced itself last.
pub struct BackendHttp {
    pool: Arc<ServerPool>,
    view: Arc<SharedView>,
}

/// The body of a response that rejects a grant because the backend server knows a newer fence.
#[derive(Deserialize)]
struct RejectedGrant {
    fence: Fence,
}

impl BackendHttp {
    /// Creates a client for the backend server whose announcement `view` holds.
    pub fn open(view: Arc<SharedView>) -> Self {
        let pool = ServerPool::new(PoolLimits {
            connect_timeout: GRANT_TIMEOUT,
            max_idle: MAX_IDLE,
            body_bytes: Some(MAX_BODY_BYTES),
        });
        Self { pool, view }
    }

    /// Sends a grant; returns none if no response came that says anything.
    async fn send_grant(&self, order: &GrantOrder) -> Option<GrantOutcome> {
        let server = self.view.announcement.load_full()?;
        let request = Request::builder()
            .method(Method::POST)
            .uri("/control/grants")
            .header(header::CONTENT_TYPE, "application/json")
            .body(Body::from(serde_json::to_vec(order).ok()?))
            .ok()?;
        let response = self.pool.send(server.address, request).await.ok()?;
        match response.status() {
            StatusCode::OK => Some(GrantOutcome::Taken),
            StatusCode::CONFLICT => {
                let rejected: RejectedGrant = response.json().await.ok()?;
                Some(GrantOutcome::Outdated(rejected.fence))
            }
            _ => None,
        }
    }

    async fn grant_in_time(&self, order: &GrantOrder) -> GrantOutcome {
        let sent = tokio::time::timeout(GRANT_TIMEOUT, self.send_grant(order)).await;
        sent.ok().flatten().unwrap_or(GrantOutcome::Unreachable)
    }
}

impl BackendControl for BackendHttp {
    fn grant<'a>(&'a self, order: &'a GrantOrder) -> BoxFuture<'a, GrantOutcome> {
        Box::pin(self.grant_in_time(order))
    }
}
