//! Sends jobs to other nodes.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use http::Request;
use http::Response;
use http::Uri;
use quetzalrack_core::traffic::poison::KnownEnds;
use quetzalrack_core::traffic::poison::SuspectNews;
use quetzalrack_mesh::model::ServerNotice;
use quetzalrack_mesh::traffic::RefusalReason;

use super::INTENT_PATH;
use super::SUSPECTS_PATH;
use super::hop_request;
use super::hop_response;
use crate::budget::ProcessBudget;
use crate::clock;
use crate::traffic::body::Payload;
use crate::traffic::job::Job;
use crate::traffic::outcome::AttemptReport;
use crate::traffic::outcome::LostReason;
use crate::traffic::outcome::Outcome;
use crate::traffic::wire::ExchangeError;
use crate::traffic::wire::LinkPacer;
use crate::traffic::wire::Pool;
use crate::traffic::wire::PoolLimits;
use crate::traffic::wire::Reuse;
use crate::traffic::wire::Unlimited;
use crate::traffic::wire::dial;

/// Limits of the connections between nodes. A reachable host accepts a connection within a few
/// milliseconds, and an unreachable one should cost a request little of its time. Nodes keep idle
/// connections open for longer than this.
const POOL_LIMITS: PoolLimits = PoolLimits {
    dial_timeout: Duration::from_millis(120),
    idle_timeout: Duration::from_secs(20),
    max_idle: 16,
};
/// Nodes send each response once, so any open connection serves.
const ANY_CONNECTION: Reuse = Reuse {
    idle_limit: POOL_LIMITS.idle_timeout,
    tag: None,
};
/// How long the exchange of news about suspected requests may take.
const NEWS_TIMEOUT: Duration = Duration::from_millis(500);
/// How long a reachability probe waits for its connection. A busy node may be slow to accept it,
/// and giving it up would lose the requests it works on.
const PROBE_TIMEOUT: Duration = Duration::from_millis(400);
/// How much longer than the deadline of the job its response is waited for: the other node responds
/// at the deadline at the latest, and its response takes time to arrive.
const RESPONSE_TRANSIT: Duration = Duration::from_millis(20);

/// Sends jobs to other nodes.
#[derive(Debug)]
pub(in crate::traffic) struct HopClient {
    pool: Rc<Pool>,
}

impl HopClient {
    pub(in crate::traffic) fn new(pacer: Option<Rc<LinkPacer>>, budget: Rc<ProcessBudget>) -> Self {
        Self {
            pool: Pool::new(POOL_LIMITS, pacer, budget),
        }
    }

    /// Returns whether a node accepts connections.
    pub(in crate::traffic) async fn is_reachable(&self, address: SocketAddr) -> bool {
        dial(address, PROBE_TIMEOUT).await.is_ok()
    }

    /// Tells a node without a configuration document that the node at `source` has one.
    pub(in crate::traffic) async fn announce_intent_source(
        &self,
        address: SocketAddr,
        source: SocketAddr,
    ) {
        let body = match postcard::to_allocvec(&source) {
            Ok(body) => body,
            Err(error) => {
                log::error!(event = "neighbour_not_written"; "{error}");
                return;
            }
        };
        let mut request = Request::new(Payload::from(Bytes::from(body)));
        *request.method_mut() = Method::POST;
        *request.uri_mut() = Uri::from_static(INTENT_PATH);
        let exchange = self
            .pool
            .exchange(address, request, ANY_CONNECTION, &Unlimited, |_| true);
        // If the message is lost, the next request that the node refuses sends it again.
        tokio::time::timeout(PROBE_TIMEOUT, exchange).await.ok();
    }

    /// Tells a node of suspected requests; returns whether it confirms that.
    pub(in crate::traffic) async fn send_suspects(
        &self,
        address: SocketAddr,
        news: &SuspectNews,
    ) -> bool {
        let body = match postcard::to_allocvec(news) {
            Ok(body) => body,
            Err(error) => {
                log::error!(event = "suspects_not_written"; "{error}");
                return false;
            }
        };
        let response = self.exchange_news(address, Method::POST, body.into()).await;
        response.is_some()
    }

    /// Asks a node for all suspected requests that it knows.
    pub(in crate::traffic) async fn fetch_suspects(
        &self,
        address: SocketAddr,
    ) -> Option<SuspectNews> {
        let body = self
            .exchange_news(address, Method::GET, Bytes::new())
            .await?;
        match postcard::from_bytes(&body) {
            Ok(news) => Some(news),
            Err(error) => {
                log::warn!(event = "suspects_unreadable"; "{error}");
                None
            }
        }
    }

    async fn exchange_news(
        &self,
        address: SocketAddr,
        method: Method,
        body: Bytes,
    ) -> Option<Bytes> {
        let mut request = Request::new(Payload::from(body));
        *request.method_mut() = method;
        *request.uri_mut() = Uri::from_static(SUSPECTS_PATH);
        let exchange = self
            .pool
            .exchange(address, request, ANY_CONNECTION, &Unlimited, |_| true);
        let response = tokio::time::timeout(NEWS_TIMEOUT, exchange)
            .await
            .ok()?
            .ok()?;
        let is_success = response.status().is_success();
        is_success.then(|| response.into_body().to_bytes())
    }

    /// Sends a job to the node at `address`, with what is known of the server there and of servers that ended
    /// under its content, and returns its report.
    pub(in crate::traffic) async fn send(
        &self,
        address: SocketAddr,
        job: &Job,
        told: Option<&ServerNotice>,
        ends: &KnownEnds,
    ) -> AttemptReport {
        let now = clock::now();
        let Some(request) = hop_request::encode(now, job, told, ends) else {
            return AttemptReport::new(Outcome::NotRun(RefusalReason::NodeAway, Duration::ZERO));
        };
        let timeout = job.deadline.since(now) + RESPONSE_TRANSIT;
        let exchange = self.pool.exchange(
            address,
            request,
            ANY_CONNECTION,
            &Unlimited,
            |response: &Response<_>| !response.headers().contains_key(http::header::CONNECTION),
        );
        match tokio::time::timeout(timeout, exchange).await {
            Ok(Ok(response)) => hop_response::decode(response)
                .unwrap_or_else(|| AttemptReport::new(Outcome::Lost(LostReason::Foreign))),
            Ok(Err(ExchangeError::NoRoom)) => AttemptReport::new(Outcome::Lost(LostReason::NoRoom)),
            Ok(Err(ExchangeError::Connect(_))) => {
                AttemptReport::new(Outcome::NotRun(RefusalReason::NodeAway, Duration::ZERO))
            }
            Ok(Err(ExchangeError::Broken(_) | ExchangeError::Endless)) => {
                self.pool.close_idle(address);
                AttemptReport::new(Outcome::Lost(LostReason::Broken))
            }
            Err(_) => AttemptReport::new(Outcome::Lost(LostReason::TimedOut)),
        }
    }
}
