//! Why a call to another node failed.

use quetzalrack_wire::calls::CallError;

/// Says why a call to another node brought no answer.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub enum PeerCallError {
    /// The other node did not answer, or refused.
    #[error("the other node did not answer the call")]
    Transport(#[from] jsonrpsee::core::ClientError),
    /// The call or its answer is malformed, or signed by a stranger.
    #[error("the call or its answer can't be used")]
    Sealed(#[from] CallError),
}
