//! What becomes of calls to the backend server.

use std::time::Duration;

use quetzalrack_core::time::Moment;

use crate::model::Handover;

/// Says what became of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeyCallOutcome {
    /// The server holds the range.
    Granted {
        /// The call was not there before this.
        sent: Moment,
        /// The call was there by this.
        answered: Moment,
        /// How long the server holds the range from the arrival of the call.
        time: Duration,
    },
    /// The server has seen a higher token on one of the keys.
    Outbid,
    /// The server has released the range.
    Released(Option<Handover>),
    /// The server refused the call as malformed, or answered what no server should.
    Rejected,
    /// The call was written and then given up; it may still be obeyed, late.
    Unanswered {
        /// The call had arrived by this, if ever.
        closed: Moment,
        /// What a grant asked for; nothing for a release.
        time: Duration,
    },
    /// Nothing was written.
    NotSent,
}
