//! Why a call or its answer was not taken.

/// Says what is wrong with a call or its answer.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub enum CallError {
    /// None of the keys made the signature.
    #[error("the call is not signed by a known key")]
    Signature,
    /// The answer belongs to another call.
    #[error("the answer belongs to another call")]
    Mismatch,
    /// The body can't be encoded or decoded.
    #[error("the call's body is malformed")]
    Body(#[from] serde_json::Error),
}
