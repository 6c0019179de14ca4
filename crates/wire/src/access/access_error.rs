//! Why an operator's call is refused.

/// Says why a proof of access is not accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum AccessError {
    /// There is no proof, or it can't be read.
    #[error("the call carries no readable proof of an operator's key")]
    Missing,
    /// The proof was made too long ago, or by a clock that is far ahead.
    #[error("the proof's time is more than a minute from this node's clock")]
    Stale,
    /// No known key made the proof for this call.
    #[error("the proof was not made for this call by a known key")]
    Signature,
}
