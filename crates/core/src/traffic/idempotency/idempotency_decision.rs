//! What the gate says to a request.

use super::StoredResponse;
use crate::traffic::refusal::RefusalCode;

/// Is the gate's answer to a request with an idempotency key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum IdempotencyDecision {
    /// The key is recorded as running; the request may be sent, once.
    Run,
    /// The work has run before; this is its whole answer.
    Replay(StoredResponse),
    /// The request is not sent.
    Refuse(RefusalCode),
}
