//! The decision on a request with an idempotency key.

use super::StoredResponse;
use crate::traffic::refusal::RefusalCode;

/// What is done with a request that has an idempotency key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum IdempotencyDecision {
    /// The key is recorded as running; the request may be sent, once.
    Run,
    /// The work has run before; this is its whole response.
    Replay(StoredResponse),
    /// The request is not sent.
    Refuse(RefusalCode),
}
