//! The calls that grant the backend server its keys and take them back.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header::HOST;
use http_body_util::Full;
use quetzalrack_core::time::Moment;
use quetzalrack_mesh::model::GrantedRange;
use quetzalrack_mesh::model::HeldRange;
use quetzalrack_mesh::ownership::Event;
use quetzalrack_mesh::ownership::KeyCall;
use quetzalrack_mesh::ownership::KeyCallOutcome;
use quetzalrack_mesh::ownership::KeyRequest;
use quetzalrack_mesh::ownership::LeaseTimes;
use quetzalrack_mesh::ownership::ServerEvent;
use quetzalrack_platform::server::grant_request;
use quetzalrack_platform::server::read_handover;
use quetzalrack_platform::server::release_request;
use tokio::sync::mpsc;

use crate::clock;
use crate::metrics::Metrics;
use crate::traffic::wire::ExchangeError;
use crate::traffic::wire::Pool;
use crate::traffic::wire::PoolLimits;

/// Connections for calls about keys. Most calls follow one another; a release takes a connection for as
/// long as work goes on, and others pass it.
const POOL_LIMITS: PoolLimits = PoolLimits {
    dial_timeout: Duration::from_millis(300),
    idle_timeout: Duration::from_secs(6),
    max_idle: 2,
};
/// How long the answer to a release is waited for; it comes when the work on the keys has ended. An
/// answer that was lost on the way costs this.
const RELEASE_LIMIT: Duration = Duration::from_millis(1_500);

/// Calls the backend server and reports what came of it as events.
#[derive(Clone)]
pub(super) struct KeyCalls {
    pub(super) pool: Rc<Pool>,
    pub(super) times: LeaseTimes,
    pub(super) events: mpsc::UnboundedSender<Event>,
    pub(super) metrics: Arc<Metrics>,
}

impl KeyCalls {
    pub(super) fn new(
        times: LeaseTimes,
        events: mpsc::UnboundedSender<Event>,
        metrics: Arc<Metrics>,
    ) -> Self {
        Self {
            // The server is on the same host.
            pool: Pool::new(POOL_LIMITS, None),
            times,
            events,
            metrics,
        }
    }

    /// Makes one call.
    pub(super) async fn run(self, call: KeyCall) {
        let KeyCall {
            id,
            address,
            heartbeat_at,
            request,
        } = call;
        let (name, held, outcome) = match request {
            KeyRequest::Grant { range, end } => {
                let held = range.held;
                (
                    "grant",
                    held,
                    self.grant(address, heartbeat_at, range, end).await,
                )
            }
            KeyRequest::Release(held) => ("release", held, self.release(address, held).await),
        };
        let ended = ended(&outcome);
        self.metrics.key_call(name, ended);
        let done = matches!(
            outcome,
            KeyCallOutcome::Granted { .. } | KeyCallOutcome::Released(_)
        );
        if !done {
            log::warn!(
                event = "key_call_failed", call = name, keys:% = held.keys, token:% = held.fence,
                end = ended; ""
            );
        }
        let event = Event::Server(ServerEvent::CallEnded(id, outcome));
        // The control loop ends only with the process.
        self.events.send(event).ok();
    }

    /// Opens connections ahead: a grant may only go on one that was open before a heartbeat.
    pub(super) async fn warm(self, address: SocketAddr) {
        let opened = self.pool.warm(address).await;
        if let Err(error) = opened {
            log::info!(event = "no_connection_for_calls", to:% = address; "{error}");
        }
    }

    async fn grant(
        &self,
        address: SocketAddr,
        heartbeat_at: Moment,
        range: GrantedRange,
        end: Moment,
    ) -> KeyCallOutcome {
        let sent = Cell::new(None);
        // The hold is counted when a connection is open, with a clock that counts suspended time: what
        // was decided before a wait must not make it longer.
        let make = || {
            let now = clock::now();
            let time = self.times.call_hold(now, end)?;
            sent.set(Some((now, time)));
            Some(addressed(grant_request(&range, time), address))
        };
        let exchange = self
            .pool
            .exchange_deferred(address, Some(heartbeat_at), make);
        // Dropped at its limit, the call's connection is closed.
        let ended = tokio::time::timeout(self.times.call_timeout, exchange).await;
        let Some((sent, time)) = sent.get() else {
            return KeyCallOutcome::NotSent;
        };
        let now = clock::now();
        match status_of(ended) {
            Some(StatusCode::OK) => KeyCallOutcome::Granted {
                sent,
                answered: now,
                time,
            },
            Some(StatusCode::CONFLICT) => KeyCallOutcome::StaleToken,
            Some(status) if status.is_client_error() => KeyCallOutcome::Rejected,
            // What fails otherwise may still be obeyed.
            Some(_) | None => KeyCallOutcome::Unanswered { closed: now, time },
        }
    }

    async fn release(&self, address: SocketAddr, held: HeldRange) -> KeyCallOutcome {
        let make = || Some(addressed(release_request(held), address));
        let exchange = self.pool.exchange_deferred(address, None, make);
        let ended = tokio::time::timeout(RELEASE_LIMIT, exchange).await;
        match ended {
            Ok(Ok(Some(answer))) if answer.status() == StatusCode::OK => {
                KeyCallOutcome::Released(read_handover(answer.headers()))
            }
            Ok(Ok(_)) => KeyCallOutcome::Rejected,
            Ok(Err(ExchangeError::Connect(_))) => KeyCallOutcome::NotSent,
            Ok(Err(ExchangeError::Broken(_))) | Err(_) => KeyCallOutcome::Unanswered {
                closed: clock::now(),
                time: Duration::ZERO,
            },
        }
    }
}

type Ended = Result<Result<Option<Response<Bytes>>, ExchangeError>, tokio::time::error::Elapsed>;

fn status_of(ended: Ended) -> Option<StatusCode> {
    ended.ok()?.ok()?.map(|answer| answer.status())
}

fn addressed(request: Request<Vec<u8>>, address: SocketAddr) -> Request<Full<Bytes>> {
    let mut request = request.map(|body| Full::new(Bytes::from(body)));
    // An address is always a proper header value.
    if let Ok(host) = HeaderValue::from_str(&address.to_string()) {
        request.headers_mut().insert(HOST, host);
    }
    request
}

fn ended(outcome: &KeyCallOutcome) -> &'static str {
    match outcome {
        KeyCallOutcome::Granted { .. } => "granted",
        KeyCallOutcome::StaleToken => "outbid",
        KeyCallOutcome::Released(_) => "released",
        KeyCallOutcome::Rejected => "rejected",
        KeyCallOutcome::Unanswered { .. } => "unanswered",
        KeyCallOutcome::NotSent => "not_sent",
    }
}
