//! How an admitted request ended.

use std::time::Duration;

/// The outcome of an admitted request, as its node observed it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The backend server responded, after this time from sending to the start of the response.
    Answered(Duration),
    /// The backend server rejected the request without running it.
    Shed,
    /// The backend server responded that the request failed.
    Failed,
    /// The connection broke, or delivered a response to another request.
    Lost,
    /// No connection could be made, so nothing was sent.
    Unreachable,
    /// The node abandoned the request earlier, and its slot has become free only now.
    Abandoned,
}
