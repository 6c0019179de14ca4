//! Epochs of leadership.

use std::fmt;
use std::str::FromStr;

use quetzalrack_core::ids::NumberError;
use serde::Deserialize;
use serde::Serialize;

/// The number of epochs in one claim: the claim itself and its handoffs.
const EPOCHS_PER_CLAIM: u64 = 256;

/// The number of a leadership; it rises with every change of leader. The store's conditional append
/// gives each claim to one leader. That leader may hand off its leadership without the store; the low
/// 8 bits count these handoffs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Epoch(pub u64);

impl Epoch {
    /// Returns the epoch of the next claim, above every handoff of this claim.
    pub fn next_claim(self) -> Self {
        Self((self.0 / EPOCHS_PER_CLAIM + 1) * EPOCHS_PER_CLAIM)
    }

    /// Returns the epoch after a handoff of this leadership, unless the claim allows no more handoffs.
    pub fn after_handoff(self) -> Option<Self> {
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
