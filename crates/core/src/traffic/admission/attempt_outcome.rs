//! How an admitted request ended.

use std::time::Duration;

/// Says how the backend server ended an admitted request, as the node beside it saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// It answered; the time is that from sending to the answer's beginning.
    Answered(Duration),
    /// It turned the request away without running it.
    Shed,
    /// It answered that the work failed.
    Failed,
    /// The connection broke, or brought an answer that is not this request's.
    Lost,
    /// No connection could be made, so nothing was sent.
    Unreachable,
    /// The node had given the request up and the slot is surely free only now.
    Abandoned,
}
