//! Epochs of leadership.

use std::fmt;
use std::str::FromStr;

use quetzalrack_core::ids::NumberError;
use serde::Deserialize;
use serde::Serialize;

/// Counts leaders. The store's conditional append gives each epoch to one leader.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Epoch(pub u64);

impl Epoch {
    /// Returns the epoch after this one.
    pub fn next(self) -> Self {
        Self(self.0 + 1)
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
