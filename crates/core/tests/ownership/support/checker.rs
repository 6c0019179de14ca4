//! Checks that no slice has two owners and that fences increase.

use std::collections::BTreeMap;

use quetzalrack_core::ids::Fence;
use quetzalrack_core::ids::SliceId;

use super::FakeNode;

/// Checks what each node's traffic threads would send, by the node's own leases and clock; it uses
/// no controller's state.
#[derive(Debug, Default)]
pub struct Checker {
    /// Describes each case in which two nodes could have sent requests of one slice.
    pub double_owners: Vec<String>,
    /// Describes each grant whose fence was not above every earlier one of the slice.
    pub stale_fences: Vec<String>,
    pub grants: u64,
    highest: BTreeMap<SliceId, Fence>,
}

impl Checker {
    /// Compares one node's leases with those of all others. Ownership begins only when a table is
    /// published or a pause ends, so calls at these times suffice.
    pub fn check_node(&mut self, now: u64, nodes: &[FakeNode], at: usize) {
        let node = &nodes[at];
        if !node.is_running(now) {
            return;
        }
        let clock = node.clock(now);
        for (slice, lease) in &node.leases.leases {
            if !lease.is_valid(clock) {
                continue;
            }
            for other in nodes {
                if other.number == at || !other.is_running(now) {
                    continue;
                }
                let Some(second) = other.leases.leases.get(slice) else {
                    continue;
                };
                if second.is_valid(other.clock(now)) {
                    self.double_owners.push(format!(
                        "{slice} at {} ms: node-{at} under {} and node-{} under {}",
                        now / 1_000_000,
                        lease.fence,
                        other.number,
                        second.fence
                    ));
                }
            }
        }
    }

    /// Records a grant that a backend server accepted.
    pub fn record_grant(&mut self, slice: &SliceId, fence: Fence) {
        self.grants += 1;
        let highest = self.highest.entry(slice.clone()).or_default();
        if *highest >= fence {
            self.stale_fences
                .push(format!("{slice}: {fence} after {highest}"));
        }
        *highest = fence.max(*highest);
    }

    pub fn assert_clean(&self) {
        assert_eq!(self.double_owners, Vec::<String>::new());
        assert_eq!(self.stale_fences, Vec::<String>::new());
    }
}
