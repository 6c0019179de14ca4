//! How an operator's call to a node shows that it comes from an operator.

mod access_error;
mod access_proof;

pub use access_error::AccessError;
pub use access_proof::AccessProof;

/// The header that carries the proof.
pub const HEADER: &str = "quetzalrack-operator";
