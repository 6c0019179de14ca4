//! Ways of choosing a server.

use std::fmt;

/// Is the way in which nodes choose among servers of a service that is not divided by key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Choice {
    /// Ours.
    Default,
    /// Any server, equally likely.
    Random,
    /// One after the other.
    RoundRobin,
    /// The one with the fewest requests that this ingress has there.
    LeastRequest,
}

impl Choice {
    /// Lists all, ours first.
    pub const ALL: [Self; 4] = [
        Self::Default,
        Self::Random,
        Self::RoundRobin,
        Self::LeastRequest,
    ];

    /// Returns the value of the node's setting `choice`.
    pub fn setting(self) -> Option<&'static str> {
        match self {
            Self::Default => None,
            Self::Random => Some("random"),
            Self::RoundRobin => Some("round_robin"),
            Self::LeastRequest => Some("least_request"),
        }
    }
}

impl fmt::Display for Choice {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Self::Default => "quetzalrack",
            Self::Random => "random",
            Self::RoundRobin => "round robin",
            Self::LeastRequest => "least request",
        })
    }
}
