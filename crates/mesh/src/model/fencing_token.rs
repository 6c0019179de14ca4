//! Fencing tokens of key ranges.

use std::fmt;
use std::str::FromStr;

use quetzalrack_core::ids::NumberError;
use serde::Deserialize;
use serde::Serialize;

/// How many tokens a leader may give in one epoch; it keeps tokens below 2^53, so that they survive
/// a JSON reader that knows only floating-point numbers for sixteen million claims.
const IN_EPOCH: u64 = 1 << 21;

/// Rises with every change of a key's holder; a backend server refuses a lower one than it has seen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct FencingToken(pub u64);

impl FencingToken {
    /// Returns the first token of a leader's epoch, above all of earlier epochs.
    pub fn first_of(epoch: u64) -> Self {
        Self(epoch * IN_EPOCH + 1)
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
