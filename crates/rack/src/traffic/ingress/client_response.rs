//! Responses to clients, and the headers that are not forwarded.

use std::time::Duration;

use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http::header::CONNECTION;
use http::header::CONTENT_LENGTH;
use http::header::PROXY_AUTHENTICATE;
use http::header::PROXY_AUTHORIZATION;
use http::header::RETRY_AFTER;
use http::header::TE;
use http::header::TRAILER;
use http::header::TRANSFER_ENCODING;
use http::header::UPGRADE;

use crate::traffic::body::Payload;

/// Hop-by-hop headers, which apply to one connection only.
const CONNECTION_HEADERS: [HeaderName; 7] = [
    CONNECTION,
    PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
];
/// Another hop-by-hop header, for which the `http` crate has no constant.
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// Makes the response to a request that was certainly not run, with the time until the client may
/// retry. Clients rely on its status as proof that the request was not run.
pub(super) fn not_run_response(retry_after: Duration) -> Response<Payload> {
    let mut response = empty_response(StatusCode::SERVICE_UNAVAILABLE);
    let seconds = format!("{:.3}", retry_after.as_secs_f64());
    // Digits and a decimal point are always a valid header value.
    if let Ok(value) = HeaderValue::from_str(&seconds) {
        response.headers_mut().insert(RETRY_AFTER, value);
    }
    response
}

/// Makes a response without a body.
pub(super) fn empty_response(status: StatusCode) -> Response<Payload> {
    let mut response = Response::new(Payload::default());
    *response.status_mut() = status;
    response
}

/// Removes the hop-by-hop headers, including those that `Connection` names.
pub(super) fn strip_connection_headers(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named.iter().chain(&CONNECTION_HEADERS).chain([&KEEP_ALIVE]) {
        headers.remove(name);
    }
    // The body is forwarded as a whole, so its length is set again.
    headers.remove(CONTENT_LENGTH);
}
