//! The identity of one run of a backend server, in eight bytes.

use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;

use super::ContentDigest;

/// Identifies one run of a backend server: a later run of the same server has another identity.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct ServerLife(pub u64);

impl ServerLife {
    /// Derives the identity from a server's name and what tells its runs apart.
    pub fn of(name: &str, run: u64) -> Self {
        let parts = [name.as_bytes(), &run.to_be_bytes()];
        Self(ContentDigest::of(parts).leading_word())
    }
}

impl fmt::Display for ServerLife {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}", self.0)
    }
}

impl fmt::Debug for ServerLife {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "ServerLife({self})")
    }
}

impl FromStr for ServerLife {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        u64::from_str_radix(text, 16).map(Self)
    }
}
