//! How a read of the operators' topic ended.

use quetzalrack_core::time::Moment;

/// Says how a read of the operators' topic ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IntentRead {
    /// The store has nothing that was not known.
    NoNews {
        /// When it was asked.
        begun: Moment,
    },
    /// It had news, which have come as an event of their own.
    News {
        /// When it was asked.
        begun: Moment,
    },
    /// It gave no answer that could be used.
    Failed,
}
