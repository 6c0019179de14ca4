//! The ways to choose.

use serde::Deserialize;
use serde::Serialize;

/// Is a way to choose a node. All but the first are baselines for experiments; operators leave
/// the setting out.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum BalancingPolicy {
    /// The cheaper of two by load share, recent latency and zone, stragglers set aside.
    #[default]
    Default,
    /// Any node.
    Random,
    /// One after the other.
    RoundRobin,
    /// The node with the fewest requests in flight.
    LeastRequest,
}
