//! Grants to the backend server beside the node, over HTTP.

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

/// How long a grant may take; much less than a lease, and the control state asks again.
const GRANT_TIMEOUT: Duration = Duration::from_millis(400);

/// Passes grants to the backend server that announced itself last.
pub struct BackendHttp {
    http: reqwest::Client,
    view: Arc<SharedView>,
}

/// Is the body of a refusal.
#[derive(Deserialize)]
struct NewerFence {
    fence: Fence,
}

impl BackendHttp {
    /// Opens the way to whichever backend server announces itself.
    pub fn open(view: Arc<SharedView>) -> Result<Self, HttpClientError> {
        let http = reqwest::Client::builder()
            .timeout(GRANT_TIMEOUT)
            .no_proxy()
            .build()?;
        Ok(Self { http, view })
    }

    async fn pass(&self, order: &GrantOrder) -> GrantOutcome {
        let Some(server) = self.view.announcement.load_full() else {
            return GrantOutcome::Unreachable;
        };
        let url = format!("http://{}/control/grants", server.address);
        let Ok(answer) = self.http.post(url).json(order).send().await else {
            return GrantOutcome::Unreachable;
        };
        match answer.status() {
            StatusCode::OK => GrantOutcome::Taken,
            StatusCode::CONFLICT => match answer.json::<NewerFence>().await {
                Ok(newer) => GrantOutcome::Outdated(newer.fence),
                Err(_) => GrantOutcome::Unreachable,
            },
            _ => GrantOutcome::Unreachable,
        }
    }
}

impl BackendControl for BackendHttp {
    fn grant<'a>(&'a self, order: &'a GrantOrder) -> BoxFuture<'a, GrantOutcome> {
        Box::pin(self.pass(order))
    }
}
