//! Identities of backend servers.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use quetzalrack_core::traffic::poison::ServerLife;
use serde::Deserialize;
use serde::Serialize;

/// The name of a backend server, which stays the same across restarts.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct ServerId(pub Arc<str>);

/// Identifies one run of a backend server. A later incarnation neither holds keys nor has state of an
/// earlier one.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct ServerIncarnation {
    /// The server.
    pub id: ServerId,
    /// When it started, in Unix milliseconds on its own clock.
    pub started_ms: u64,
}

impl ServerIncarnation {
    /// Tells whether it started before another incarnation of the same host's server, by their clock.
    pub fn is_before(&self, other: &Self) -> bool {
        self.started_ms < other.started_ms
    }

    /// Returns the identity by which nodes tell each other of the incarnation's end.
    pub fn life(&self) -> ServerLife {
        ServerLife::of(&self.id.0, self.started_ms)
    }
}

impl fmt::Display for ServerId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl FromStr for ServerId {
    type Err = std::convert::Infallible;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        Ok(Self(text.into()))
    }
}

impl fmt::Display for ServerIncarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}", self.id, self.started_ms)
    }
}
