//! The result of a read of the operators' topic.

use quetzalrack_core::time::Moment;

/// The result of a read of the operators' topic.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IntentRead {
    /// The store has no new records.
    Unchanged {
        /// When the read began.
        begun: Moment,
    },
    /// The store had new records; the changed intent is reported by an event of its own.
    Changed {
        /// When the read began.
        begun: Moment,
    },
    /// The store gave no usable response.
    Failed,
}
