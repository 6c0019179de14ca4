//! Load balancing policies.

use serde::Deserialize;
use serde::Serialize;

/// A load balancing policy. All but the first are baselines for experiments; operators leave the
/// setting out.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum BalancingPolicy {
    /// The cheaper of two random nodes by utilization, recent latency and zone; stragglers are
    /// left out.
    #[default]
    Default,
    /// A random node.
    Random,
    /// The nodes in turn.
    RoundRobin,
    /// The node with the fewest requests in flight.
    LeastRequest,
}
