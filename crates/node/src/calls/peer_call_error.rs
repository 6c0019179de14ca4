//! Why a call to another node failed.

use quetzalrack_wire::calls::CallError;

/// Why a call to another node returned no result.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub enum PeerCallError {
    /// The other node did not answer, or rejected the call.
    #[error("the other node did not answer the call or rejected it")]
    Transport(#[from] jsonrpsee::core::ClientError),
    /// The call or its answer is malformed, or not signed with a known key.
    #[error("the call or its answer is malformed or not authentic")]
    Sealed(#[from] CallError),
}
