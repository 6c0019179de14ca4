//! Matching a response to its attempt.

use axum::http::HeaderMap;
use quetzalrack_core::ids::AttemptId;
use quetzalrack_wire::headers;

/// Tells whether a response carries the id of its attempt, exactly once.
///
/// A backend server or node that resumes after a pause may answer an older request on a connection
/// that already carries the next one; the wrong caller would get a complete and plausible response.
/// Attempt ids are random, so a response to another request never carries the right one.
pub(in crate::traffic) fn matches_attempt(
    response_headers: &HeaderMap,
    attempt: AttemptId,
) -> bool {
    let mut values = response_headers.get_all(headers::ATTEMPT).iter();
    let first = values.next().and_then(|value| value.to_str().ok());
    let echoed = first.and_then(|text| text.parse::<AttemptId>().ok());
    echoed == Some(attempt) && values.next().is_none()
}
