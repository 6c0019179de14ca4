//! The load that a node reports with its responses.

use std::fmt;
use std::str::FromStr;

use crate::ids::SlotCount;

/// The load of a backend server as its node counts it, written `in_flight;limit;latency_us` in a
/// header of every response between nodes, so that it is as recent as the traffic.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct NodeLoad {
    /// Requests in flight or waiting.
    pub in_flight: SlotCount,
    /// The current limit of concurrent requests.
    pub limit: SlotCount,
    /// The recent median latency, in microseconds.
    pub latency_us: u32,
}

/// The error for a text that is not a node load.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
#[error("malformed node load; expected in_flight;limit;latency_us")]
pub struct ParseNodeLoadError;

impl fmt::Display for NodeLoad {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{};{};{}", self.in_flight, self.limit, self.latency_us)
    }
}

impl FromStr for NodeLoad {
    type Err = ParseNodeLoadError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut parts = text.split(';');
        let mut number = || -> Result<u32, ParseNodeLoadError> {
            let part = parts.next().ok_or(ParseNodeLoadError)?;
            part.parse().map_err(|_| ParseNodeLoadError)
        };
        Ok(Self {
            in_flight: SlotCount(number()?),
            limit: SlotCount(number()?),
            latency_us: number()?,
        })
    }
}
