//! What a backend server hears on its heartbeat.

use crate::model::Renewal;

/// Is the answer to a heartbeat.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HeartbeatAnswer {
    /// It was heard; what it holds is neither renewed nor taken away.
    Heard,
    /// It is to hold this and nothing else.
    Renewed(Renewal),
}
