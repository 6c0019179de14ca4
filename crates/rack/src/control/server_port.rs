//! HTTP port for the backend server's heartbeats.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header::CONTENT_TYPE;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::body::Incoming;
use quetzalrack_mesh::ownership::HeartbeatAnswer;
use quetzalrack_mesh::ownership::ServerEvent;
use quetzalrack_platform::server::ServerCall;
use quetzalrack_platform::server::parse_heartbeat;
use quetzalrack_platform::server::parse_leave;
use quetzalrack_platform::server::write_answer;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use crate::metrics::Metrics;

/// How long a call may wait for its answer; the server repeats one that takes a second.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(900);

/// Longest body of a call; a heartbeat with the largest number of ranges is shorter.
const MAX_BODY_BYTES: usize = 256 * 1024;
/// How long the body of a call may take to arrive.
const BODY_TIMEOUT: Duration = Duration::from_secs(5);

/// A call of the backend server with the sender of its answer.
pub(super) type PendingServerCall = (ServerEvent, oneshot::Sender<HeartbeatAnswer>);

/// Forwards the backend server's calls to the control machine.
pub(super) struct ServerPort {
    pub(super) server_calls: mpsc::UnboundedSender<PendingServerCall>,
    pub(super) metrics: Arc<Metrics>,
}

impl ServerPort {
    pub(super) async fn answer(
        self: Rc<Self>,
        request: Request<Incoming>,
    ) -> Response<Full<Bytes>> {
        let Some(call) = ServerCall::parse(request.method(), request.uri().path()) else {
            return status(StatusCode::NOT_FOUND);
        };
        let event = match call {
            ServerCall::Leave(id) => {
                let Some(body) = read_body(request.into_body()).await else {
                    return status(StatusCode::BAD_REQUEST);
                };
                let started_ms = parse_leave(&body);
                ServerEvent::Leaving { id, started_ms }
            }
            ServerCall::Heartbeat(id) => {
                let Some(body) = read_body(request.into_body()).await else {
                    return status(StatusCode::BAD_REQUEST);
                };
                match parse_heartbeat(id, &body) {
                    Ok(heartbeat) => ServerEvent::Heartbeat(heartbeat),
                    // A malformed heartbeat changes nothing about the known server.
                    Err(error) => {
                        self.metrics.unreadable("heartbeat");
                        log::warn!(event = "heartbeat_unreadable"; "{error}");
                        return status(StatusCode::BAD_REQUEST);
                    }
                }
            }
        };
        let (sender, answer) = oneshot::channel();
        if self.server_calls.send((event, sender)).is_err() {
            return status(StatusCode::SERVICE_UNAVAILABLE);
        }
        let Ok(answer) = tokio::time::timeout(ANSWER_TIMEOUT, answer).await else {
            return status(StatusCode::SERVICE_UNAVAILABLE);
        };
        let body = match answer {
            Ok(HeartbeatAnswer::Renewed(renewal)) => {
                self.metrics.heartbeat("renewed");
                write_answer(Some(&renewal))
            }
            Ok(HeartbeatAnswer::Acknowledged) => {
                self.metrics.heartbeat("heard");
                write_answer(None)
            }
            Err(_) => return status(StatusCode::SERVICE_UNAVAILABLE),
        };
        let mut response = Response::new(Full::new(body.into()));
        let json = http::HeaderValue::from_static("application/json");
        response.headers_mut().insert(CONTENT_TYPE, json);
        response
    }
}

/// Reads the body of a call; returns `None` if it is too long, too slow or cut short.
async fn read_body(body: Incoming) -> Option<Bytes> {
    let body = Limited::new(body, MAX_BODY_BYTES).collect();
    let body = tokio::time::timeout(BODY_TIMEOUT, body).await.ok()?.ok()?;
    Some(body.to_bytes())
}

pub(super) fn status(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}
