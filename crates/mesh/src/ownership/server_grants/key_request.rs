//! Requests in calls to the backend server.

use quetzalrack_core::time::Moment;

use crate::model::GrantedRange;
use crate::model::HeldRange;

/// What a call asks the backend server to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeyRequest {
    /// Hold a range, or hold it for longer.
    Grant {
        /// The range.
        range: GrantedRange,
        /// The hold must have ended by this moment, even if the call arrives at the end of its time limit.
        /// The sender computes the length of the hold from this only when it sends the call.
        end: Moment,
    },
    /// Release a range once the work on it has ended.
    Release(HeldRange),
}
