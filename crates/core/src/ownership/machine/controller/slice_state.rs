//! The state of a slice at the controller.

use super::Assignment;
use crate::time::Moment;

/// Whether a slice is held, and from when it may be granted.
#[derive(Clone, Debug)]
pub(super) enum SliceState {
    /// No holder has reported the slice in time; it may be granted after this moment.
    Unreported(Moment),
    /// A holder reported the slice before the controller had its majority.
    Reported {
        /// The reported grant.
        assignment: Assignment,
        /// The earliest moment at which the lease may have ended.
        earliest_end: Moment,
    },
    /// The slice may be granted.
    Free,
    /// The slice is granted.
    Granted(Assignment),
    /// The lease of a silent holder has lapsed at this moment. The slice may be granted once a
    /// majority acknowledges a message sent later.
    Lapsed(Moment),
}
