//! Calls to the backend server about its keys.

use std::net::SocketAddr;
use std::time::Duration;

use quetzalrack_core::time::Moment;

use crate::model::GrantedRange;
use crate::model::Handover;
use crate::model::HeldRange;

/// Numbers the calls of one process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct KeyCallId(pub u64);

/// Is one call to the backend server beside the node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyCall {
    /// Names the call in its outcome.
    pub id: KeyCallId,
    /// Where the server listens.
    pub address: SocketAddr,
    /// What it is asked for.
    pub request: KeyRequest,
}

/// Says what a backend server is asked for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeyRequest {
    /// To hold a range from now on, or for longer.
    Grant {
        /// The range.
        range: GrantedRange,
        /// By then the hold must have ended, wherever in the limit of the call it began: whoever
        /// sends the call counts back from here at the last moment.
        end: Moment,
    },
    /// To release a range once the work on it has ended.
    Release(HeldRange),
}

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
