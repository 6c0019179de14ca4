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
use crate::traffic::outcome::Lost;
use crate::traffic::outcome::Outcome;
use crate::traffic::wire::DialError;
use crate::traffic::wire::ExchangeError;
use crate::traffic::wire::Pool;
use crate::traffic::wire::PoolLimits;
use crate::traffic::wire::WriteGate;

/// Connections to the backend server. A server closes idle ones after ten seconds or so; one that
/// was idle for a third of that is still there, and as many are kept as it has slots.
const LIMITS: PoolLimits = PoolLimits {
    dial: Duration::from_millis(300),
    idle: Duration::from_secs(3),
    kept: 32,
};
/// How long a connection may have been idle to carry work that may run once only: if the server
/// drops it at that moment, nobody can tell whether the work has run.
const IDLE_ONCE: Duration = Duration::from_millis(1_000);
/// How soon a caller may try again that met no listening server.
const AFTER_REFUSAL: Duration = Duration::from_millis(400);
/// For how long a server that once gave a foreign answer gets work that may run once only on new
/// connections: the next late answer on a kept one would take its place.
const DISTRUST: Duration = Duration::from_secs(8);

/// Sends requests to the backend server and judges its answers.
#[derive(Debug)]
pub(super) struct ServerLink {
    pool: Rc<Pool>,
    distrusted_until: Cell<Moment>,
    refused_at: Cell<Option<Moment>>,
    /// When a connection broke last.
    broke_at: Cell<Option<Moment>>,
    /// When no connection was left after one had broken.
    bare_at: Cell<Option<Moment>>,
}

/// Is what a server's answer told beside the outcome.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Told {
    /// How long work takes there now, in percent of the usual time.
    pub(super) slowness: Option<u32>,
}

/// Notes whether a request has passed a gate: until then nothing of it was written.
struct Passage<'a> {
    gate: &'a dyn WriteGate,
    passed: Cell<bool>,
}

impl<'a> Passage<'a> {
    fn new(gate: &'a dyn WriteGate) -> Self {
        let passed = Cell::default();
        Self { gate, passed }
    }

    fn is_passed(&self) -> bool {
        self.passed.get()
    }
}

impl WriteGate for Passage<'_> {
    fn pass(&self) -> Option<Duration> {
        let wait = self.gate.pass();
        self.passed.set(self.passed.get() || wait.is_none());
        wait
    }
}

impl ServerLink {
    pub(super) fn new() -> Self {
        Self {
            // The server is on the same host.
            pool: Pool::new(LIMITS, None),
            distrusted_until: Cell::default(),
            refused_at: Cell::default(),
            broke_at: Cell::default(),
            bare_at: Cell::default(),
        }
    }

    /// Returns since when the server's port takes no connections.
    pub(super) fn refused_at(&self) -> Option<Moment> {
        self.refused_at.get()
    }

    /// Tells whether the server's port has been closed since its last heartbeat. Should it take connections
    /// again, it is another life that listens, and its heartbeat tells what that one bears.
    pub(super) fn is_closed(&self, heard: Moment) -> bool {
        self.refused_at.get().is_some_and(|at| at >= heard)
    }

    /// Tells whether all connections have broken since the server's last heartbeat, so that another life may
    /// listen.
    pub(super) fn is_doubted(&self, heard: Moment) -> bool {
        let broke = self.broke_at.get().is_some_and(|at| at >= heard);
        if broke && !self.pool.is_connected() {
            self.bare_at.set(Some(clock::now()));
        }
        self.bare_at.get().is_some_and(|at| at >= heard)
    }

    /// Returns how many connections were opened.
    pub(super) fn opened(&self) -> u64 {
        self.pool.opened()
    }

    /// Sends a job and returns what became of it.
    pub(super) async fn send(
        &self,
        address: SocketAddr,
        server: &ServerId,
        job: &Job,
        gate: &dyn WriteGate,
    ) -> (Outcome, Told) {
        let now = clock::now();
        let patience = job.deadline.since(now);
        let request = write(job, server, patience);
        let once = job.kind == WorkKind::Once;
        let idle = match once {
            true if now < self.distrusted_until.get() => Duration::ZERO,
            true => IDLE_ONCE,
            false => LIMITS.idle,
        };
        let is_ours = |answer: &Response<Bytes>| {
            let said = AnswerHeaders::read(answer.status(), answer.headers());
            said.id == job.id && !said.closes
        };
        let gate = Passage::new(gate);
        let exchange = self.pool.exchange(address, request, idle, &gate, is_ours);
        match tokio::time::timeout(patience, exchange).await {
            Ok(Ok(answer)) => {
                self.refused_at.set(None);
                self.judge(address, job, answer)
            }
            Ok(Err(ExchangeError::Dial(error))) => {
                if matches!(error, DialError::Refused) {
                    self.refused_at.set(Some(clock::now()));
                }
                self.pool.forget(address);
                (
                    Outcome::NotRun(RefusalReason::Unreachable, AFTER_REFUSAL),
                    Told::default(),
                )
            }
            Ok(Err(ExchangeError::Broken(error))) => {
                self.broke_at.set(Some(clock::now()));
                if error.is_parse() {
                    self.distrust();
                }
                (Outcome::Lost(Lost::Broken), Told::default())
            }
            Err(_) if !gate.is_passed() => (
                Outcome::NotRun(RefusalReason::Expired, AFTER_REFUSAL),
                Told::default(),
            ),
            Err(_) => (Outcome::Lost(Lost::TimedOut), Told::default()),
        }
    }

    fn judge(&self, address: SocketAddr, job: &Job, answer: Response<Bytes>) -> (Outcome, Told) {
        let said = AnswerHeaders::read(answer.status(), answer.headers());
        let told = Told {
            slowness: said.load.and_then(|load| load.slowness),
        };
        if said.id != job.id {
            // A late second answer to an earlier request; other kept connections may hold more.
            self.distrust();
            self.pool.forget(address);
            return (Outcome::Lost(Lost::Foreign), told);
        }
        if said.not_run {
            return (
                Outcome::NotRun(RefusalReason::ServerRefused, AFTER_REFUSAL),
                told,
            );
        }
        let status = answer.status();
        // An answer without a server's proof, or in an encoding that nobody asked for, is not the
        // server's; and a bare refusal would promise that the request has not run.
        let promises = status == StatusCode::SERVICE_UNAVAILABLE
            || status == StatusCode::TOO_MANY_REQUESTS
            || status == StatusCode::REQUEST_TIMEOUT;
        let foreign = status.is_success() && !said.proven;
        if foreign || promises || answer.headers().contains_key(CONTENT_ENCODING) {
            return (Outcome::Lost(Lost::Foreign), told);
        }
        (Outcome::Answered(answer), told)
    }

    fn distrust(&self) {
        self.distrusted_until.set(clock::now() + DISTRUST);
    }
}

fn write(job: &Job, server: &ServerId, patience: Duration) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(job.body.clone()));
    *request.method_mut() = job.method.clone();
    *request.uri_mut() = job.uri.clone();
    *request.headers_mut() = job.headers.clone();
    let caller = &job.origin;
    stamp(
        request.headers_mut(),
        &ServerStamp {
            patience,
            caller,
            server,
        },
    );
    request
}
