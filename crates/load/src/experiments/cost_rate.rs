//! What control costs a node per second.

use quetzalrack_wire::status::CostStatus;
use quetzalrack_wire::status::NodeStatus;

/// Is one node's cost between two readings.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct CostRate {
    /// Whether the node was controller.
    pub is_controller: bool,
    /// Processor time, in percent of a core.
    pub core_percent: f64,
    /// Datagrams in and out, in kilobytes a second.
    pub peer_kb: f64,
    /// Bytes from and to the log service, in kilobytes a second.
    pub log_kb: f64,
    /// Resident memory of the process at the second reading, in megabytes.
    pub resident_mb: f64,
}

impl CostRate {
    /// Computes the rates of every node that answered both times.
    pub fn between(before: &[NodeStatus], after: &[NodeStatus]) -> Vec<Self> {
        let same = |status: &NodeStatus| {
            let node = &status.member.node;
            before.iter().find(|earlier| earlier.member.node == *node)
        };
        let pairs = after
            .iter()
            .filter_map(|status| Some((same(status)?, status)));
        pairs
            .map(|(earlier, later)| Self::of(earlier, later))
            .collect()
    }

    fn of(earlier: &NodeStatus, later: &NodeStatus) -> Self {
        let (old, new) = (&earlier.cost, &later.cost);
        let seconds = new.uptime_ms.saturating_sub(old.uptime_ms).max(1) as f64 / 1e3;
        let rate =
            |read: fn(&CostStatus) -> u64| read(new).saturating_sub(read(old)) as f64 / seconds;
        Self {
            is_controller: later.controller.as_ref().is_some_and(|known| known.here),
            core_percent: rate(|cost| cost.control_us) / 1e4,
            peer_kb: rate(|cost| cost.peer_in.0 + cost.peer_out.0) / 1e3,
            log_kb: rate(|cost| cost.log_in.0 + cost.log_out.0) / 1e3,
            resident_mb: new.resident.0 as f64 / 1e6,
        }
    }

    /// Returns the mean of several nodes' costs.
    pub fn mean(rates: &[Self]) -> Self {
        let mean = |read: fn(&Self) -> f64| {
            rates.iter().map(read).sum::<f64>() / rates.len().max(1) as f64
        };
        Self {
            is_controller: false,
            core_percent: mean(|rate| rate.core_percent),
            peer_kb: mean(|rate| rate.peer_kb),
            log_kb: mean(|rate| rate.log_kb),
            resident_mb: mean(|rate| rate.resident_mb),
        }
    }
}
