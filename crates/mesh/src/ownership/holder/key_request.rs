//! What calls ask the backend server for.

use quetzalrack_core::time::Moment;

use crate::model::GrantedRange;
use crate::model::HeldRange;

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
