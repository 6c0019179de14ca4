//! Fencing tokens of key ranges.

use std::fmt;
use std::str::FromStr;

use quetzalrack_core::ids::NumberError;
use serde::Deserialize;
use serde::Serialize;

/// The number of tokens that a leader may issue in one epoch. It keeps tokens below 2^53 until the
/// store has recorded sixteen million claims, so JSON readers that parse every number as floating
/// point read them exactly.
const TOKENS_PER_EPOCH: u64 = 1 << 21;

/// A number that rises with every change of a key's holder. A backend server refuses a token lower than
/// one that it has seen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct FencingToken(pub u64);

impl FencingToken {
    /// Returns the first token of an epoch, which is above all tokens of earlier epochs.
    pub fn first_of(epoch: u64) -> Self {
        Self(epoch * TOKENS_PER_EPOCH + 1)
    }

    /// Returns the token that follows this one.
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl fmt::Display for FencingToken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(&self.0, f)
    }
}

impl FromStr for FencingToken {
    type Err = NumberError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        Ok(Self(text.parse()?))
    }
}
