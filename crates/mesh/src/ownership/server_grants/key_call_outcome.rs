//! Outcomes of calls to the backend server.

use std::time::Duration;

use quetzalrack_core::time::Moment;

use crate::model::Handover;

/// The outcome of a call to the backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeyCallOutcome {
    /// The server granted the request and holds the range.
    Granted {
        /// When the call was sent; it did not arrive earlier.
        sent: Moment,
        /// When the response came; the call did not arrive later.
        answered: Moment,
        /// How long the server holds the range from the arrival of the call.
        time: Duration,
    },
    /// The server has seen a higher token on one of the keys.
    StaleToken,
    /// The server has released the range.
    Released(Option<Handover>),
    /// The server refused the call as malformed, or its response was not a valid one.
    Rejected,
    /// The call was sent, but no valid response came in time. The server may still carry it out later.
    Unanswered {
        /// When the connection was closed; the call did not arrive later.
        closed: Moment,
        /// The hold that a grant asked for; zero for a release.
        time: Duration,
    },
    /// The call was not sent.
    NotSent,
    /// The call was not sent, as no connection is left that was opened early enough.
    NoConnection,
}
