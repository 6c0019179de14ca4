//! Epochs of leadership.

use std::fmt;
use std::str::FromStr;

use quetzalrack_core::ids::NumberError;
use serde::Deserialize;
use serde::Serialize;

/// How many times the leadership of one claim may be handed on.
const HANDOVERS: u64 = 256;

/// Counts leaders. The store's conditional append gives each claim to one leader; that one may hand
/// its leadership on without the store, and the low digits count these handovers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Epoch(pub u64);

impl Epoch {
    /// Returns the epoch of the next claim, above all that this claim can be handed on as.
    pub fn next_claim(self) -> Self {
        Self((self.0 / HANDOVERS + 1) * HANDOVERS)
    }

    /// Returns the epoch of the leader to whom this one hands on, if it may.
    pub fn handed_on(self) -> Option<Self> {
        let next = Self(self.0 + 1);
        (next < self.next_claim()).then_some(next)
    }
}

impl fmt::Display for Epoch {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(&self.0, f)
    }
}

impl FromStr for Epoch {
    type Err = NumberError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        Ok(Self(text.parse()?))
    }
}
