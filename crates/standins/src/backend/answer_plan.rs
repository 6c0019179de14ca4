//! How an answer goes out.

use quetzalrack_core::ids::AttemptId;

/// Is what becomes of one answer after its work ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AnswerPlan {
    /// The attempt that the answer claims to belong to.
    pub attempt: Option<AttemptId>,
    /// Whether the answer never arrives.
    pub lost: bool,
    /// Whether its body breaks off halfway.
    pub truncated: bool,
}
