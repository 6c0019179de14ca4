//! Watches who holds what.

use std::collections::BTreeMap;
use std::time::Instant;

use quetzalrack_core::ids::Fence;
use quetzalrack_core::ids::NodeName;
use quetzalrack_core::ids::SliceId;
use quetzalrack_testutils::environment::RunningEnvironment;

use super::OwnershipChange;

/// Counts changes of ownership between looks. A slice that moves twice between two looks counts
/// once.
#[derive(Clone, Debug)]
pub struct OwnershipWatch {
    began: Instant,
    holders: BTreeMap<SliceId, (Fence, NodeName)>,
    changes: Vec<OwnershipChange>,
}

impl OwnershipWatch {
    /// Begins with what is held now.
    pub async fn begin(environment: &RunningEnvironment) -> Self {
        let mut watch = Self {
            began: Instant::now(),
            holders: BTreeMap::new(),
            changes: Vec::new(),
        };
        watch.look(environment).await;
        watch.changes.clear();
        watch
    }

    /// Looks again.
    pub async fn look(&mut self, environment: &RunningEnvironment) {
        for status in environment.statuses().await {
            let node = status.member.node;
            for lease in status.leases {
                self.note(lease.slice, lease.fence, node.clone());
            }
        }
    }

    fn note(&mut self, slice: SliceId, fence: Fence, node: NodeName) {
        let known = self.holders.get(&slice);
        if known.is_some_and(|(newest, _)| *newest >= fence) {
            return;
        }
        self.changes.push(OwnershipChange {
            at: self.began.elapsed(),
            slice: slice.clone(),
            from: known.map(|(_, node)| node.clone()),
            to: node.clone(),
            fence,
        });
        self.holders.insert(slice, (fence, node));
    }

    /// Returns the changes seen so far.
    pub fn changes(&self) -> &[OwnershipChange] {
        &self.changes
    }

    /// Counts the changes of slices to another node.
    pub fn moves(&self) -> usize {
        let moved = |change: &&OwnershipChange| change.from.as_ref() != Some(&change.to);
        self.changes.iter().filter(moved).count()
    }
}
