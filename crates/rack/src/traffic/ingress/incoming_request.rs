//! Reads the requests of clients.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use http::Response;
use http::StatusCode;
use http::header::HOST;
use http::request::Parts;
use http_body_util::BodyExt;
use hyper::body::Body;
use quetzalrack_core::ids::ServiceName;
use quetzalrack_core::time::Moment;
use quetzalrack_mesh::model::Route;
use quetzalrack_mesh::model::RoutingConfig;
use quetzalrack_platform::request::RequestHeaders;

use super::client_response::empty_response;
use super::client_response::not_run_response;
use super::client_response::strip_connection_headers;
use crate::shared::NodeView;
use crate::traffic::body::Payload;
use crate::traffic::job::Job;

/// How long a client is assumed to wait if it does not say.
const DEFAULT_CLIENT_TIMEOUT: Duration = Duration::from_secs(30);
/// How much earlier than the client's own deadline it must be answered: the response takes time to
/// arrive.
const RESPONSE_TRANSIT: Duration = Duration::from_millis(25);
/// When a client may retry at a node that has no configuration yet.
const RETRY_AFTER_NO_CONFIG: Duration = Duration::from_millis(500);

/// Why a request is not sent to any node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Rejection {
    /// The node has no configuration yet, so it can't tell that a route is missing.
    NoConfig,
    /// The configuration has no such route.
    NoRoute,
    /// The body was cut off.
    BrokenBody,
    /// The body is larger than clients may send.
    LargeBody,
}

impl Rejection {
    /// Returns the response to the client.
    pub(super) fn response(self) -> Response<Payload> {
        match self {
            Self::NoConfig => not_run_response(RETRY_AFTER_NO_CONFIG),
            Self::NoRoute => empty_response(StatusCode::NOT_FOUND),
            Self::BrokenBody => empty_response(StatusCode::BAD_REQUEST),
            Self::LargeBody => empty_response(StatusCode::PAYLOAD_TOO_LARGE),
        }
    }
}

/// A request that is ready to be sent to a node.
pub(super) struct IncomingRequest {
    pub(super) job: Job,
    pub(super) route: Arc<Route>,
    /// When the response is due: at the end of the route's timeout or of the client's, whichever is
    /// earlier.
    pub(super) deadline: Moment,
}

/// Finds the route of a request by its host and path.
pub(super) fn find_route(view: &NodeView, parts: &Parts) -> Result<Arc<Route>, Rejection> {
    let routes = view.routes.as_ref().ok_or(Rejection::NoConfig)?;
    let host = parts.headers.get(HOST).and_then(|host| host.to_str().ok());
    let host = host.or_else(|| parts.uri.host()).unwrap_or_default();
    let route = routes.find(host, parts.uri.path()).cloned();
    route.ok_or(Rejection::NoRoute)
}

/// Reads the whole body, up to the configured size. If the client disconnects, no response is
/// needed.
pub(super) async fn read_body<B>(mut body: B, config: &RoutingConfig) -> Result<Payload, Rejection>
where
    B: Body<Data = Bytes> + Unpin,
{
    let max_bytes = config.limits.body_bytes;
    let mut read = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| Rejection::BrokenBody)?;
        if let Ok(data) = frame.into_data() {
            if read.len() + data.len() > max_bytes {
                return Err(Rejection::LargeBody);
            }
            read.extend_from_slice(&data);
        }
    }
    Ok(Payload::from(read.freeze()))
}

/// Makes a job of a request whose body was read.
pub(super) fn build(
    arrived: Moment,
    parts: Parts,
    body: Payload,
    route: Arc<Route>,
    service: ServiceName,
    caller: ServiceName,
) -> IncomingRequest {
    let client_headers = RequestHeaders::read(&parts.headers);
    let mut headers = parts.headers;
    strip_connection_headers(&mut headers);
    let timeout = client_headers.timeout.unwrap_or(DEFAULT_CLIENT_TIMEOUT);
    let mut deadline = arrived + timeout.saturating_sub(RESPONSE_TRANSIT);
    if let Some(timeout) = route.timeout {
        deadline = deadline.min(arrived + timeout);
    }
    let key = client_headers.key;
    let content = Job::digest_content(&parts.method, &parts.uri, &headers, key, &body);
    let job = Job {
        method: parts.method,
        uri: parts.uri,
        headers,
        body,
        id: client_headers.id,
        content,
        key,
        service,
        caller,
        route: route.name.clone(),
        rank: route.rank,
        kind: route.kind,
        objective: arrived + route.objective,
        deadline,
    };
    IncomingRequest {
        job,
        route,
        deadline,
    }
}
