//! The load that a node reports on its answers.

use std::fmt;
use std::str::FromStr;

use crate::ids::SlotCount;

/// Is a node's own count of its backend server's load, written `in_flight;limit;latency_us` in a
/// header of every answer between nodes, so that it is as fresh as the traffic.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct NodeLoad {
    /// Requests in flight or waiting.
    pub in_flight: SlotCount,
    /// The current limit.
    pub limit: SlotCount,
    /// The recent median latency, in microseconds.
    pub latency_us: u32,
}

/// Says that a text is no load report.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
#[error("a load is written in_flight;limit;latency_us")]
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
