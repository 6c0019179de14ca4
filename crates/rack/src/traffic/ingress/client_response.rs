//! What a client hears.

use std::time::Duration;

use bytes::Bytes;
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

/// Headers that concern one connection only.
const CONNECTION_HEADERS: [HeaderName; 7] = [
    CONNECTION,
    PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
];
/// The same, without a constant of the library.
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// Says that a request surely has not run, and when to come back. Its status is a promise.
pub(super) fn not_run_response(retry_after: Duration) -> Response<Bytes> {
    let mut response = empty_response(StatusCode::SERVICE_UNAVAILABLE);
    let seconds = format!("{:.3}", retry_after.as_secs_f64());
    // Digits and a point always make a header.
    if let Ok(value) = HeaderValue::from_str(&seconds) {
        response.headers_mut().insert(RETRY_AFTER, value);
    }
    response
}

/// Makes an answer without a body.
pub(super) fn empty_response(status: StatusCode) -> Response<Bytes> {
    let mut response = Response::new(Bytes::new());
    *response.status_mut() = status;
    response
}

/// Removes the headers that concern one connection, also those that `Connection` names.
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
    // The body is passed on whole, so its length is written anew.
    headers.remove(CONTENT_LENGTH);
}
