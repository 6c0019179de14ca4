//! One step of a random schedule.

use proptest::prelude::*;

use super::Cluster;

/// Is a fault, its end, or a run between them.
#[derive(Clone, Debug)]
pub enum Step {
    Run { span_ms: u64 },
    Pause { node: usize, span_ms: u64 },
    Restart { node: usize },
    Kill { node: usize },
    CutOneWay { from: usize, to: usize },
    Isolate { node: usize },
    Partition { mask: u32 },
    Heal,
    LogDown,
    LogUp,
    ZoneOut { zone: usize },
    ZonesIn,
    ToggleServer { node: usize },
    ShutDown { node: usize },
}

impl Step {
    /// Generates one step for a cluster of `nodes` nodes, each in a zone of its own.
    pub fn strategy(nodes: usize) -> impl Strategy<Value = Self> {
        let node = 0..nodes;
        prop_oneof![
            8 => (20u64..1_500).prop_map(|span_ms| Self::Run { span_ms }),
            3 => (node.clone(), 200u64..3_000).prop_map(|(node, span_ms)| Self::Pause { node, span_ms }),
            3 => node.clone().prop_map(|node| Self::Restart { node }),
            1 => node.clone().prop_map(|node| Self::Kill { node }),
            3 => (node.clone(), node.clone()).prop_map(|(from, to)| Self::CutOneWay { from, to }),
            2 => node.clone().prop_map(|node| Self::Isolate { node }),
            1 => (1u32..31).prop_map(|mask| Self::Partition { mask }),
            3 => Just(Self::Heal),
            1 => Just(Self::LogDown),
            1 => Just(Self::LogUp),
            1 => node.clone().prop_map(|zone| Self::ZoneOut { zone }),
            1 => Just(Self::ZonesIn),
            1 => node.clone().prop_map(|node| Self::ToggleServer { node }),
            1 => node.prop_map(|node| Self::ShutDown { node }),
        ]
    }

    /// Applies the step.
    pub fn apply(&self, cluster: &mut Cluster) {
        let all: Vec<usize> = (0..cluster.nodes.len()).collect();
        match self {
            Self::Run { span_ms } => cluster.run(*span_ms),
            Self::Pause { node, span_ms } => cluster.pause(*node, *span_ms),
            Self::Restart { node } => {
                cluster.kill(*node);
                cluster.start(*node);
            }
            Self::Kill { node } => cluster.kill(*node),
            Self::CutOneWay { from, to } => cluster.cut(&[*from], &[*to], false),
            Self::Isolate { node } => cluster.cut(&[*node], &all, true),
            Self::Partition { mask } => {
                let (left, right): (Vec<_>, Vec<_>) =
                    all.into_iter().partition(|node| mask & (1 << node) != 0);
                cluster.cut(&left, &right, true);
            }
            Self::Heal => cluster.cuts.clear(),
            Self::LogDown => cluster.log.down = true,
            Self::LogUp => cluster.log.down = false,
            Self::ZoneOut { zone } => {
                cluster.layout.zones_out.insert(*zone);
                cluster.put_in_force();
            }
            Self::ZonesIn => {
                cluster.layout.zones_out.clear();
                cluster.put_in_force();
            }
            Self::ToggleServer { node } => cluster.toggle_server(*node),
            Self::ShutDown { node } => cluster.shut_down(*node),
        }
    }
}
