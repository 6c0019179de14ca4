//! Calls that grant key ranges to the backend server and release them.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderValue;
use http::Request;
use http::StatusCode;
use http::header::HOST;
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

use crate::budget::ProcessBudget;
use crate::clock;
use crate::metrics::Metrics;
use crate::traffic::body::Payload;
use crate::traffic::wire::ExchangeError;
use crate::traffic::wire::KeptResponse;
use crate::traffic::wire::Pool;
use crate::traffic::wire::PoolLimits;

/// Limits of the connections for grants. Most are sequential.
const POOL_LIMITS: PoolLimits = PoolLimits {
    dial_timeout: Duration::from_millis(300),
    idle_timeout: Duration::from_secs(6),
    max_idle: 2,
};
/// Maximum wait for the response to a release, which is sent when the work on the keys has ended. A
/// response that is lost in transit delays the release by this time.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Calls the backend server and reports the outcomes as events.
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
        budget: Rc<ProcessBudget>,
    ) -> Self {
        Self {
            // The server is on the same host.
            pool: Pool::new(POOL_LIMITS, None, budget),
            times,
            events,
            metrics,
        }
    }

    /// Makes one call and reports its outcome.
    pub(super) async fn run(self, call: KeyCall) {
        let KeyCall {
            id,
            address,
            opened_before,
            request,
        } = call;
        let (name, held, outcome) = match request {
            KeyRequest::Grant { range, end } => {
                let held = range.held;
                (
                    "grant",
                    held,
                    self.grant(address, opened_before, range, end).await,
                )
            }
            KeyRequest::Release(held) => ("release", held, self.release(address, held).await),
        };
        let label = outcome_label(&outcome);
        self.metrics.key_call(name, label);
        let succeeded = matches!(
            outcome,
            KeyCallOutcome::Granted { .. } | KeyCallOutcome::Released(_)
        );
        if !succeeded {
            log::warn!(
                event = "key_call_failed", call = name, keys:% = held.keys, token:% = held.fence,
                end = label; ""
            );
        }
        let event = Event::Server(ServerEvent::CallEnded(id, outcome));
        // The receiver is dropped only when the process ends.
        self.events.send(event).ok();
    }

    /// Opens connections in advance: a grant may only use one that was open before a heartbeat.
    pub(super) async fn open_connections(self, address: SocketAddr) {
        let result = self.pool.warm(address).await;
        if let Err(error) = result {
            log::info!(event = "no_connection_for_calls", to:% = address; "{error}");
        }
    }

    async fn grant(
        &self,
        address: SocketAddr,
        opened_before: Moment,
        range: GrantedRange,
        end: Moment,
    ) -> KeyCallOutcome {
        let sent = Cell::new(None);
        let is_connected = Cell::new(false);
        // The hold is computed once a connection is open, with a clock that counts suspended time, so
        // that waiting for the connection does not extend it.
        let build_request = || {
            is_connected.set(true);
            let now = clock::now();
            let time = self.times.call_hold(now, end)?;
            sent.set(Some((now, time)));
            Some(with_host(grant_request(&range, time), address))
        };
        let exchange = self
            .pool
            .exchange_deferred(address, opened_before, build_request);
        // An exchange that is dropped at its timeout closes the call's connection.
        let result = tokio::time::timeout(self.times.call_timeout, exchange).await;
        let Some((sent, time)) = sent.get() else {
            return match result {
                Ok(Ok(None)) if !is_connected.get() => KeyCallOutcome::NoConnection,
                _ => KeyCallOutcome::NotSent,
            };
        };
        let now = clock::now();
        match status_of(result) {
            Some((StatusCode::OK, _)) => KeyCallOutcome::Granted {
                sent,
                answered: now,
                time,
            },
            Some((StatusCode::CONFLICT, true)) => KeyCallOutcome::StaleToken,
            Some((status, true)) if status.is_client_error() => KeyCallOutcome::Rejected,
            // Any other failure leaves open whether the server applied the grant, and so does one on a
            // connection that has carried another call: it may be the response to that one.
            Some(_) | None => KeyCallOutcome::Unanswered { closed: now, time },
        }
    }

    async fn release(&self, address: SocketAddr, held: HeldRange) -> KeyCallOutcome {
        // Others are granted the keys on the word of this response alone.
        let request = with_host(release_request(held), address);
        let exchange = self.pool.exchange_alone(address, request);
        let result = tokio::time::timeout(RELEASE_TIMEOUT, exchange).await;
        match result {
            Ok(Ok(response)) if response.status() == StatusCode::OK => {
                KeyCallOutcome::Released(read_handover(response.headers()))
            }
            Ok(Ok(_)) => KeyCallOutcome::Rejected,
            Ok(Err(ExchangeError::Connect(_))) => KeyCallOutcome::NotSent,
            Ok(Err(ExchangeError::Broken(_) | ExchangeError::Endless | ExchangeError::NoRoom))
            | Err(_) => KeyCallOutcome::Unanswered {
                closed: clock::now(),
                time: Duration::ZERO,
            },
        }
    }
}

type ExchangeResult =
    Result<Result<Option<KeptResponse>, ExchangeError>, tokio::time::error::Elapsed>;

/// Returns the status, and whether it came on a connection that had carried no other call.
fn status_of(result: ExchangeResult) -> Option<(StatusCode, bool)> {
    let kept = result.ok()?.ok()??;
    Some((kept.response.status(), kept.is_first))
}

fn with_host(request: Request<Vec<u8>>, address: SocketAddr) -> Request<Payload> {
    let mut request = request.map(|body| Payload::from(Bytes::from(body)));
    // An address is always a valid header value.
    if let Ok(host) = HeaderValue::from_str(&address.to_string()) {
        request.headers_mut().insert(HOST, host);
    }
    request
}

fn outcome_label(outcome: &KeyCallOutcome) -> &'static str {
    match outcome {
        KeyCallOutcome::Granted { .. } => "granted",
        KeyCallOutcome::StaleToken => "outbid",
        KeyCallOutcome::Released(_) => "released",
        KeyCallOutcome::Rejected => "rejected",
        KeyCallOutcome::Unanswered { .. } => "unanswered",
        KeyCallOutcome::NotSent => "not_sent",
        KeyCallOutcome::NoConnection => "no_connection",
    }
}
