//! Sending jobs to other nodes.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use http::Method;
use http::Request;
use http::Response;
use http::Uri;
use http_body_util::Full;
use quetzalrack_mesh::traffic::RefusalReason;

use super::INTENT_PATH;
use super::hop_answer;
use super::hop_request;
use crate::clock;
use crate::traffic::job::Job;
use crate::traffic::outcome::Lost;
use crate::traffic::outcome::Outcome;
use crate::traffic::outcome::Report;
use crate::traffic::wire::ExchangeError;
use crate::traffic::wire::LinkPacer;
use crate::traffic::wire::OpenGate;
use crate::traffic::wire::Pool;
use crate::traffic::wire::PoolLimits;
use crate::traffic::wire::dial;

/// Connections between nodes: a host in reach answers within a few milliseconds, and one that does
/// not should cost a request little of its time. Nodes keep idle ones for longer than this.
const LIMITS: PoolLimits = PoolLimits {
    dial: Duration::from_millis(120),
    idle: Duration::from_secs(20),
    kept: 16,
};
/// How long a node may take to accept a connection that only asks whether it is there; a busy one
/// may be slow, and giving up on it costs what it works on.
const REACHED: Duration = Duration::from_millis(400);
/// How much longer than the job's own time its answer is waited for: the other node gives its own
/// answer at the end of that time, and it needs the way back.
const WAY_BACK: Duration = Duration::from_millis(20);

/// Sends jobs to other nodes.
#[derive(Debug)]
pub(in crate::traffic) struct HopClient {
    pool: Rc<Pool>,
}

impl HopClient {
    pub(in crate::traffic) fn new(pacer: Option<Rc<LinkPacer>>) -> Self {
        Self {
            pool: Pool::new(LIMITS, pacer),
        }
    }

    /// Tells whether a node takes connections.
    pub(in crate::traffic) async fn reaches(&self, address: SocketAddr) -> bool {
        dial(address, REACHED).await.is_ok()
    }

    /// Tells a node that knows no document that the one at `neighbour` does.
    pub(in crate::traffic) async fn introduce(&self, address: SocketAddr, neighbour: SocketAddr) {
        let body = match postcard::to_allocvec(&neighbour) {
            Ok(body) => body,
            Err(error) => {
                log::error!(event = "neighbour_not_written"; "{error}");
                return;
            }
        };
        let mut request = Request::new(Full::new(body.into()));
        *request.method_mut() = Method::POST;
        *request.uri_mut() = Uri::from_static(INTENT_PATH);
        let exchange = self
            .pool
            .exchange(address, request, LIMITS.idle, &OpenGate, |_| true);
        // Lost, it is said again with the next request that is refused there.
        tokio::time::timeout(REACHED, exchange).await.ok();
    }

    /// Sends a job to the node at `address` and returns what became of it there.
    pub(in crate::traffic) async fn send(&self, address: SocketAddr, job: &Job) -> Report {
        let now = clock::now();
        let Some(request) = hop_request::write(now, job) else {
            return Report::bare(Outcome::NotRun(RefusalReason::NodeAway, Duration::ZERO));
        };
        let patience = job.deadline.since(now) + WAY_BACK;
        let exchange = self.pool.exchange(
            address,
            request,
            LIMITS.idle,
            &OpenGate,
            |answer: &Response<_>| !answer.headers().contains_key(http::header::CONNECTION),
        );
        match tokio::time::timeout(patience, exchange).await {
            Ok(Ok(answer)) => hop_answer::read(answer)
                .unwrap_or_else(|| Report::bare(Outcome::Lost(Lost::Foreign))),
            Ok(Err(ExchangeError::Dial(_))) => {
                Report::bare(Outcome::NotRun(RefusalReason::NodeAway, Duration::ZERO))
            }
            Ok(Err(ExchangeError::Broken(_))) => {
                self.pool.forget(address);
                Report::bare(Outcome::Lost(Lost::Broken))
            }
            Err(_) => Report::bare(Outcome::Lost(Lost::TimedOut)),
        }
    }
}
