//! What one direction of a stream suffers.

use std::time::Duration;

/// Is what happens to the bytes that flow one way. The default does nothing.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DirectionFaults {
    /// Delays every byte.
    pub latency: Duration,
    /// Delays by up to this much more, drawn for each piece.
    pub jitter: Duration,
    /// Bytes a second that pass; none sets no bound.
    pub bandwidth: Option<u64>,
    /// Delivers nothing and holds what comes until healed, as a partition does to a connection.
    pub blackhole: bool,
    /// Closes the connection after this many bytes.
    pub truncate_after: Option<u64>,
}
