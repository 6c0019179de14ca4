//! Key ranges with their fencing tokens.

use serde::Deserialize;
use serde::Serialize;

use super::FencingToken;
use super::KeyRange;

/// A key range that a backend server holds, or whose requests it still processes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub struct HeldRange {
    /// The keys.
    pub keys: KeyRange,
    /// The fencing token with which they were granted.
    pub fence: FencingToken,
}
