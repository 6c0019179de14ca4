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
                let Ok(body) = request.into_body().collect().await else {
                    return status(StatusCode::BAD_REQUEST);
                };
                let started_ms = parse_leave(&body.to_bytes());
                ServerEvent::Leaving { id, started_ms }
            }
            ServerCall::Heartbeat(id) => {
                let Ok(body) = request.into_body().collect().await else {
                    return status(StatusCode::BAD_REQUEST);
                };
                match parse_heartbeat(id, &body.to_bytes()) {
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

pub(super) fn status(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}
