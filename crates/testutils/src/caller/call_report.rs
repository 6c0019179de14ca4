//! What a caller got.

use std::time::Duration;

use quetzalrack_core::ids::Fence;
use quetzalrack_core::ids::ServerName;

use crate::checker::AnswerRecord;

/// Is one answer with what a test or a load tool wants to know of it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallReport {
    /// What the checker judges.
    pub record: AnswerRecord,
    /// Whether a connection came about; without one nothing was asked.
    pub connected: bool,
    /// The status; none without an answer.
    pub status: Option<u16>,
    /// The code of a refusal.
    pub code: Option<String>,
    /// The backend server that answered.
    pub server: Option<ServerName>,
    /// The fence under which it answered.
    pub fence: Option<Fence>,
    /// How long it took until the whole answer was there.
    pub elapsed: Duration,
}
