//! What each server is to hold, and for how long.

use quetzalrack_core::ids::NodeName;
use quetzalrack_core::time::Moment;

use super::leader_machine::Leader;
use super::range_entry::RangeLease;
use super::range_entry::RangeState;
use crate::model::GrantedRange;
use crate::model::HeldRange;
use crate::model::ServerIncarnation;
use crate::ownership::Assignment;
use crate::ownership::LeaseTimes;

impl Leader {
    /// Returns everything that a node's server is to hold, or `None` while its present holdings are
    /// unknown.
    pub(super) fn assignment(&self, node: &NodeName) -> Option<Assignment> {
        self.intent.config.as_ref()?;
        let peer = self.peers.get(node)?;
        // A silent server gets an assignment too: only a reply that leaves a range out keeps the
        // node from granting that range once the server's heartbeats resume.
        let server = peer
            .member
            .server
            .as_ref()
            .filter(|server| server.holding_known)?;
        let mut ranges = Vec::new();
        if let Some(range_map) = self.range_maps.get(&peer.member.service) {
            for entry in range_map.entries() {
                match &entry.state {
                    RangeState::Unknown if peer.may_hold(&entry.keys) => return None,
                    RangeState::Held(lease) if is_held_by(lease, node, &server.incarnation) => {
                        ranges.push(GrantedRange {
                            held: HeldRange {
                                keys: entry.keys,
                                fence: lease.fence,
                            },
                            handover: lease.handover.clone(),
                        })
                    }
                    _ => {}
                }
            }
        }
        Some(Assignment {
            server: server.incarnation.clone(),
            ranges,
        })
    }

    /// Tells whether a range is about to be granted to a node's server.
    pub(super) fn expects_keys(&self, node: &NodeName) -> bool {
        let entries = self
            .range_maps
            .values()
            .flat_map(|range_map| range_map.entries());
        entries
            .filter_map(|entry| match &entry.state {
                RangeState::Releasing { target, .. } => target.as_ref(),
                RangeState::Free(free_range) => free_range.target.as_ref(),
                RangeState::Unknown | RangeState::Held(_) => None,
            })
            .any(|target| target == node)
    }

    /// Extends the leases of the ranges that an assignment names.
    pub(super) fn extend_leases(
        &mut self,
        now: Moment,
        node: &NodeName,
        server: &ServerIncarnation,
    ) {
        let remaining = self.authority.remaining(now, &self.times);
        let end = now + LeaseTimes::plus_clock_drift(remaining);
        for range_map in self.range_maps.values_mut() {
            for entry in range_map.entries_mut() {
                match &mut entry.state {
                    // An earlier, longer lease stays valid when this one is shorter.
                    RangeState::Held(lease) if is_held_by(lease, node, server) => {
                        lease.expires_at = lease.expires_at.max(end);
                    }
                    _ => {}
                }
            }
        }
    }
}

/// Tells whether a range may be renewed for the server beside a node. The node may report an incarnation before
/// the one that holds the range.
fn is_held_by(lease: &RangeLease, node: &NodeName, server: &ServerIncarnation) -> bool {
    let holder = lease.server.as_ref();
    lease.node == *node && holder.is_none_or(|holder| !server.is_before(holder))
}
