//! Sends grants to the backend server beside the node over HTTP.

use std::sync::Arc;
use std::time::Duration;

use quetzalrack_core::boundary::BackendControl;
use quetzalrack_core::boundary::BoxFuture;
use quetzalrack_core::boundary::GrantOrder;
use quetzalrack_core::boundary::GrantOutcome;
use quetzalrack_core::ids::Fence;
use reqwest::StatusCode;
use serde::Deserialize;

use super::HttpClientError;
use crate::shared::SharedView;

/// Timeout of sending a grant. It is much shorter than a lease, and the ownership state machine
/// retries the grant.
const GRANT_TIMEOUT: Duration = Duration::from_millis(400);

/// Sends grants to the backend server that announced itself last.
pub struct BackendHttp {
    http: reqwest::Client,
    view: Arc<SharedView>,
}

/// The body of a response that rejects a grant because the backend server knows a newer fence.
#[derive(Deserialize)]
struct RejectedGrant {
    fence: Fence,
}

impl BackendHttp {
    /// Creates a client for the backend server whose announcement `view` holds.
    pub fn open(view: Arc<SharedView>) -> Result<Self, HttpClientError> {
        let http = reqwest::Client::builder()
            .timeout(GRANT_TIMEOUT)
            .no_proxy()
            .build()?;
        Ok(Self { http, view })
    }

    async fn send_grant(&self, order: &GrantOrder) -> GrantOutcome {
        let Some(server) = self.view.announcement.load_full() else {
            return GrantOutcome::Unreachable;
        };
        let url = format!("http://{}/control/grants", server.address);
        let Ok(response) = self.http.post(url).json(order).send().await else {
            return GrantOutcome::Unreachable;
        };
        match response.status() {
            StatusCode::OK => GrantOutcome::Taken,
            StatusCode::CONFLICT => match response.json::<RejectedGrant>().await {
                Ok(rejected) => GrantOutcome::Outdated(rejected.fence),
                Err(_) => GrantOutcome::Unreachable,
            },
            _ => GrantOutcome::Unreachable,
        }
    }
}

impl BackendControl for BackendHttp {
    fn grant<'a>(&'a self, order: &'a GrantOrder) -> BoxFuture<'a, GrantOutcome> {
        Box::pin(self.send_grant(order))
    }
}
