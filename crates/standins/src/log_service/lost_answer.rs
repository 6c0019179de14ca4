//! How an answer gets lost.

use serde::Deserialize;
use serde::Serialize;

/// Is the way in which a caller misses an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LostAnswer {
    /// The head arrives, the body breaks off and the connection closes.
    #[default]
    Broken,
    /// Nothing arrives for a minute.
    Silent,
}
