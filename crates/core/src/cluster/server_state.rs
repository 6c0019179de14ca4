//! The condition that a backend server announces.

use serde::Deserialize;
use serde::Serialize;

/// Is the condition that a backend server announces; it may be late or wrong, so it can lower the
/// load that the node beside it sends, but never raise it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ServerState {
    /// Takes little load until it has warmed up.
    Cold,
    /// Takes its full load.
    Warm,
    /// Finishes its requests and accepts no new ones.
    Draining,
}
