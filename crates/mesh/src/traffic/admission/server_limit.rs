//! The rate limit that a backend server names.

use std::fmt;

use crate::model::RequestRate;

/// How many requests per second a backend server accepts, by its own responses.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum ServerLimit {
    /// Not known yet: the server ran before this process, which has received no response of it, and no
    /// other node has told of a limit.
    #[default]
    Unknown,
    /// The server names no limit.
    Unlimited,
    /// A rate.
    PerSecond(RequestRate),
}

impl ServerLimit {
    /// Tells whether this limit allows fewer requests than another.
    pub fn is_lower(self, other: Self) -> bool {
        match (self, other) {
            (Self::PerSecond(rate), Self::PerSecond(other)) => rate < other,
            (Self::PerSecond(_), _) => true,
            _ => false,
        }
    }
}

impl fmt::Display for ServerLimit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unknown => f.write_str("unknown"),
            Self::Unlimited => f.write_str("none"),
            Self::PerSecond(rate) => write!(f, "{rate}"),
        }
    }
}
