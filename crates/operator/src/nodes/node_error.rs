//! Why a node gave no answer.

/// Says why nothing was learned from a node.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub enum NodeError {
    /// It could not be reached, or its answer was broken.
    #[error("the node does not answer")]
    Unreachable(#[from] reqwest::Error),
    /// Its answer can't be read, as between releases that know different fields.
    #[error("the node's answer can't be read; is it of another release?")]
    Unreadable(#[source] reqwest::Error),
    /// It refused the operator's key.
    #[error("the node refuses the operator's key")]
    Refused,
    /// It has no answer yet.
    #[error("the node answers with status {0}")]
    Status(u16),
    /// The proof of the operator's key can't be written.
    #[error("the proof of the operator's key can't be written")]
    Proof(#[from] serde_json::Error),
}
