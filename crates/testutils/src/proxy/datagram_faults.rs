//! What datagrams suffer.

use std::time::Duration;

/// Is what happens to the datagrams that flow one way; probabilities are between 0 and 1. The
/// default does nothing.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct DatagramFaults {
    /// How likely a datagram is lost; 1 cuts this way and leaves the other open.
    pub drop: f64,
    /// How likely it arrives twice, the second time after `late`.
    pub duplicate: f64,
    /// How likely it is overtaken by those sent within `late` after it.
    pub reorder: f64,
    /// By how much doubled and overtaken datagrams are late.
    pub late: Duration,
    /// Delays every datagram.
    pub latency: Duration,
}
