//! One request as its caller saw it.

use quetzalrack_core::ids::IdempotencyKey;
use quetzalrack_core::ids::RequestId;

use super::SaidOutcome;

/// Records what a caller asked and got.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AnswerRecord {
    /// The method and path asked for.
    pub target: String,
    /// The identity of work that must not repeat.
    pub idempotency: Option<IdempotencyKey>,
    /// The request's id, from the answer's head.
    pub request: Option<RequestId>,
    /// What the caller was told.
    pub outcome: SaidOutcome,
    /// The method and path that the body of an answer names.
    pub body_target: Option<String>,
    /// The request's id that the body of an answer names.
    pub body_request: Option<RequestId>,
    /// The size of the body, in bytes.
    pub body_bytes: u64,
    /// The size asked for, in bytes; none accepts any.
    pub asked_bytes: Option<u64>,
}
