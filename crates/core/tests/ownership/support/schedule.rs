//! A random schedule.

use proptest::prelude::*;

use quetzalrack_core::ownership::SafetyRules;

use super::Cluster;
use super::Faults;
use super::Layout;
use super::Step;

/// Number of nodes, which are all voters.
const NODES: usize = 5;
/// Longest extra delay of a late message: three lease times.
const MAX_LATE_US: u64 = 3_600_000;

/// Describes a run of a small cluster with random faults.
#[derive(Clone, Debug)]
pub struct Schedule {
    pub seed: u64,
    pub lost: u32,
    pub duplicated: u32,
    pub late: u32,
    pub steps: Vec<Step>,
}

impl Schedule {
    pub fn strategy() -> impl Strategy<Value = Self> {
        let steps = prop::collection::vec(Step::strategy(NODES), 8..24);
        (any::<u64>(), 0u32..25, 0u32..25, 0u32..30, steps).prop_map(
            |(seed, lost, duplicated, late, steps)| Self {
                seed,
                lost,
                duplicated,
                late,
                steps,
            },
        )
    }

    /// Runs the schedule under the given rules and returns the cluster at its end.
    pub fn run(&self, rules: SafetyRules) -> Cluster {
        let mut cluster = Cluster::new(self.seed, Layout::new(NODES, 1, 6));
        cluster.rules = rules;
        cluster.faults = Faults {
            lost: self.lost,
            duplicated: self.duplicated,
            late: self.late,
            delay_us: 20_000,
            late_us: MAX_LATE_US,
            answer_lost: 20,
        };
        for node in 0..NODES {
            cluster.start(node);
        }
        cluster.run(1_800);
        for step in &self.steps {
            step.apply(&mut cluster);
        }
        cluster.run(2_500);
        cluster
    }
}
