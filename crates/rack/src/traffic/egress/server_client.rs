//! The connections to the backend server beside the node.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header::CONTENT_ENCODING;
use http_body_util::Full;
use quetzalrack_core::time::Moment;
use quetzalrack_mesh::model::ServerId;
use quetzalrack_mesh::model::WorkKind;
use quetzalrack_mesh::traffic::RefusalReason;
use quetzalrack_platform::request::AnswerHeaders;
use quetzalrack_platform::request::ServerStamp;
use quetzalrack_platform::request::stamp;

use crate::clock;
use crate::traffic::job::Job;
use crate::traffic::outcome::LostReason;
use crate::traffic::outcome::Outcome;
use crate::traffic::wire::DialError;
use crate::traffic::wire::ExchangeError;
use crate::traffic::wire::Pool;
use crate::traffic::wire::PoolLimits;
use crate::traffic::wire::WriteLimiter;

/// Connections to the backend server. A server closes idle ones after ten seconds or so; one that
/// was idle for a third of that is still there, and as many are kept as it has slots.
const POOL_LIMITS: PoolLimits = PoolLimits {
    dial_timeout: Duration::from_millis(300),
    idle_timeout: Duration::from_secs(3),
    max_idle: 32,
};
/// How long a connection may have been idle to carry work that may run once only: if the server
/// drops it at that moment, nobody can tell whether the work has run.
const MAX_IDLE_ONCE: Duration = Duration::from_millis(1_000);
/// How soon a caller may try again that met no listening server.
const RETRY_AFTER_REFUSAL: Duration = Duration::from_millis(400);
/// For how long a server that once gave a foreign answer gets work that may run once only on new
/// connections: the next late answer on a kept one would take its place.
const DISTRUST_PERIOD: Duration = Duration::from_secs(8);

/// Sends requests to the backend server and judges its answers.
#[derive(Debug)]
pub(super) struct ServerClient {
    pool: Rc<Pool>,
    distrusted_until: Cell<Moment>,
    refused_at: Cell<Option<Moment>>,
    /// When a connection broke last.
    last_broken: Cell<Option<Moment>>,
    /// When no connection was left after one had broken.
    disconnected_at: Cell<Option<Moment>>,
}

/// Is what a server's answer told beside the outcome.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Feedback {
    /// How long work takes there now, in percent of the usual time.
    pub(super) slowdown_percent: Option<u32>,
}

/// Notes whether a request has passed a gate: until then nothing of it was written.
struct TrackedLimiter<'a> {
    limiter: &'a dyn WriteLimiter,
    write_allowed: Cell<bool>,
}

impl<'a> TrackedLimiter<'a> {
    fn new(limiter: &'a dyn WriteLimiter) -> Self {
        let write_allowed = Cell::default();
        Self {
            limiter,
            write_allowed,
        }
    }

    fn is_write_allowed(&self) -> bool {
        self.write_allowed.get()
    }
}

impl WriteLimiter for TrackedLimiter<'_> {
    fn try_write(&self) -> Option<Duration> {
        let wait = self.limiter.try_write();
        self.write_allowed
            .set(self.write_allowed.get() || wait.is_none());
        wait
    }
}

impl ServerClient {
    pub(super) fn new() -> Self {
        Self {
            // The server is on the same host.
            pool: Pool::new(POOL_LIMITS, None),
            distrusted_until: Cell::default(),
            refused_at: Cell::default(),
            last_broken: Cell::default(),
            disconnected_at: Cell::default(),
        }
    }

    /// Returns since when the server's port takes no connections.
    pub(super) fn refused_at(&self) -> Option<Moment> {
        self.refused_at.get()
    }

    /// Tells whether the server's port has been closed since its last heartbeat. Should it take connections
    /// again, it is another life that listens, and its heartbeat tells what that one bears.
    pub(super) fn is_port_closed(&self, heartbeat_at: Moment) -> bool {
        self.refused_at.get().is_some_and(|at| at >= heartbeat_at)
    }

    /// Tells whether all connections have broken since the server's last heartbeat, so that another life may
    /// listen.
    pub(super) fn maybe_restarted(&self, heartbeat_at: Moment) -> bool {
        let has_broken = self.last_broken.get().is_some_and(|at| at >= heartbeat_at);
        if has_broken && !self.pool.is_connected() {
            self.disconnected_at.set(Some(clock::now()));
        }
        self.disconnected_at
            .get()
            .is_some_and(|at| at >= heartbeat_at)
    }

    /// Returns how many connections were opened.
    pub(super) fn opened_count(&self) -> u64 {
        self.pool.opened_count()
    }

    /// Sends a job and returns what became of it.
    pub(super) async fn send(
        &self,
        address: SocketAddr,
        server: &ServerId,
        job: &Job,
        limiter: &dyn WriteLimiter,
    ) -> (Outcome, Feedback) {
        let now = clock::now();
        let timeout = job.deadline.since(now);
        let request = build_request(job, server, timeout);
        let is_once = job.kind == WorkKind::Once;
        let idle = match is_once {
            true if now < self.distrusted_until.get() => Duration::ZERO,
            true => MAX_IDLE_ONCE,
            false => POOL_LIMITS.idle_timeout,
        };
        let keep = |response: &Response<Bytes>| {
            let headers = AnswerHeaders::read(response.status(), response.headers());
            headers.id == job.id && !headers.closes
        };
        let limiter = TrackedLimiter::new(limiter);
        let exchange = self.pool.exchange(address, request, idle, &limiter, keep);
        match tokio::time::timeout(timeout, exchange).await {
            Ok(Ok(response)) => {
                self.refused_at.set(None);
                self.classify_response(address, job, response)
            }
            Ok(Err(ExchangeError::Connect(error))) => {
                if matches!(error, DialError::Refused) {
                    self.refused_at.set(Some(clock::now()));
                }
                self.pool.close_idle(address);
                (
                    Outcome::NotRun(RefusalReason::Unreachable, RETRY_AFTER_REFUSAL),
                    Feedback::default(),
                )
            }
            Ok(Err(ExchangeError::Broken(error))) => {
                self.last_broken.set(Some(clock::now()));
                if error.is_parse() {
                    self.distrust();
                }
                (Outcome::Lost(LostReason::Broken), Feedback::default())
            }
            Err(_) if !limiter.is_write_allowed() => (
                Outcome::NotRun(RefusalReason::Expired, RETRY_AFTER_REFUSAL),
                Feedback::default(),
            ),
            Err(_) => (Outcome::Lost(LostReason::TimedOut), Feedback::default()),
        }
    }

    fn classify_response(
        &self,
        address: SocketAddr,
        job: &Job,
        response: Response<Bytes>,
    ) -> (Outcome, Feedback) {
        let headers = AnswerHeaders::read(response.status(), response.headers());
        let feedback = Feedback {
            slowdown_percent: headers.load.and_then(|load| load.slowness),
        };
        if headers.id != job.id {
            // A late second answer to an earlier request; other kept connections may hold more.
            self.distrust();
            self.pool.close_idle(address);
            return (Outcome::Lost(LostReason::Foreign), feedback);
        }
        if headers.not_run {
            return (
                Outcome::NotRun(RefusalReason::ServerRefused, RETRY_AFTER_REFUSAL),
                feedback,
            );
        }
        let status = response.status();
        // An answer without a server's proof, or in an encoding that nobody asked for, is not the
        // server's; and a bare refusal would promise that the request has not run.
        let claims_not_run = status == StatusCode::SERVICE_UNAVAILABLE
            || status == StatusCode::TOO_MANY_REQUESTS
            || status == StatusCode::REQUEST_TIMEOUT;
        let is_foreign = status.is_success() && !headers.proven;
        if is_foreign || claims_not_run || response.headers().contains_key(CONTENT_ENCODING) {
            return (Outcome::Lost(LostReason::Foreign), feedback);
        }
        (Outcome::Answered(response), feedback)
    }

    fn distrust(&self) {
        self.distrusted_until.set(clock::now() + DISTRUST_PERIOD);
    }
}

fn build_request(job: &Job, server: &ServerId, timeout: Duration) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(job.body.clone()));
    *request.method_mut() = job.method.clone();
    *request.uri_mut() = job.uri.clone();
    *request.headers_mut() = job.headers.clone();
    let caller = &job.caller;
    stamp(
        request.headers_mut(),
        &ServerStamp {
            patience: timeout,
            caller,
            server,
        },
    );
    request
}
