//! A range of keys with its holder's fencing token.

use serde::Deserialize;
use serde::Serialize;

use super::FencingToken;
use super::KeyRange;

/// Is a range that a backend server holds or is still working on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub struct HeldRange {
    /// The keys.
    pub keys: KeyRange,
    /// The token with which they were granted.
    pub fence: FencingToken,
}
