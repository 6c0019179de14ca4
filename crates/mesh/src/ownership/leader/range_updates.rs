//! State changes of ranges: released, lapsed, or accounted for after a takeover.

use quetzalrack_core::ids::NodeName;
use quetzalrack_core::ids::ServiceName;
use quetzalrack_core::time::Moment;

use super::leader_machine::Leader;
use super::range_entry::FreeRange;
use super::range_entry::RangeEntry;
use super::range_entry::RangeState;
use super::range_map::RangeMap;
use crate::model::Granting;
use crate::model::HeldRange;
use crate::ownership::NodeHeartbeat;

impl Leader {
    /// Applies what a node's server has released, and what ended with an earlier incarnation of it.
    pub(super) fn update_ranges(
        &mut self,
        now: Moment,
        node: &NodeName,
        heartbeat: &NodeHeartbeat,
    ) {
        let Some(range_map) = self.range_maps.get_mut(&heartbeat.member.service) else {
            return;
        };
        for entry in range_map.entries_mut() {
            let lease = entry.state.lease();
            if lease.is_some_and(|lease| lease.node == *node)
                && let Some(state) = next_state(now, entry, heartbeat)
            {
                entry.state = state;
            }
        }
    }

    /// Grants with a higher token what a node's server refused because it has seen a token above
    /// this leader's on these keys.
    pub(super) fn replace_stale_grants(&mut self, node: &NodeName, heartbeat: &NodeHeartbeat) {
        let Some(range_map) = self.range_maps.get_mut(&heartbeat.member.service) else {
            return;
        };
        for entry in range_map.entries_mut() {
            let RangeState::Held(lease) = &mut entry.state else {
                continue;
            };
            let refused = |held: &HeldRange| {
                held.fence == lease.fence && held.keys.common(&entry.keys).is_some()
            };
            if lease.node == *node && heartbeat.stale_grants.iter().any(refused) {
                self.last_fence = self.last_fence.next();
                let detail = format!("{} at {node}, now token {}", entry.keys, self.last_fence);
                self.log_entries.push(("grant_outbid", detail));
                lease.fence = self.last_fence;
            }
        }
    }

    /// Raises the tokens of a node's ranges, since its process has ended and grants them by calls. The next one
    /// may take a late heartbeat for the server that runs now, and its calls reach whichever incarnation
    /// does: a later one must get keys with a token above that of an earlier one.
    pub(super) fn raise_tokens(&mut self, node: &NodeName, service: &ServiceName) {
        let Some(range_map) = self.range_maps.get_mut(service) else {
            return;
        };
        for entry in range_map.entries_mut() {
            if let RangeState::Held(lease) = &mut entry.state
                && lease.node == *node
            {
                self.last_fence = self.last_fence.next();
                lease.fence = self.last_fence;
            }
        }
    }

    /// Frees the ranges whose leases were not renewed in time.
    pub(super) fn expire_leases(&mut self, now: Moment) {
        for range_map in self.range_maps.values_mut() {
            for entry in range_map.entries_mut() {
                let Some(expires_at) = entry.state.lease().map(|lease| lease.expires_at) else {
                    continue;
                };
                if now > expires_at {
                    entry.state = RangeState::Free(FreeRange {
                        lapsed_at: Some(now),
                        handover: None,
                        target: None,
                    });
                }
            }
            range_map.merge_adjacent();
        }
    }

    /// Accounts for the grants of earlier leaders.
    pub(super) fn account_for_grants(&mut self, now: Moment) {
        self.add_services();
        let Some(takeover) = &self.takeover else {
            return;
        };
        // Without a configuration, it is not known which services are divided by key.
        let config_known = self.intent.config.is_some();
        let complete = config_known && takeover.is_complete(now, &self.peers, &self.times);
        for (service, range_map) in &mut self.range_maps {
            takeover.adopt_reports(now, &self.peers, &self.times, complete, range_map, service);
        }
        if !complete {
            return;
        }
        for range_map in self.range_maps.values_mut() {
            for entry in range_map.entries_mut() {
                if entry.state == RangeState::Unknown {
                    entry.state = RangeState::free();
                }
            }
            range_map.merge_adjacent();
        }
        self.takeover = None;
        let detail = format!("{} nodes heard", self.responsive_members(now).count());
        self.log_entries.push(("takeover_complete", detail));
    }

    pub(super) fn add_services(&mut self) {
        let Some(config) = &self.intent.config else {
            return;
        };
        let keyed = config.services.iter().filter(|(_, service)| service.keyed);
        for (name, _) in keyed {
            // A service that is first divided by key after all grants were accounted for has none.
            let start = match self.takeover.is_some() {
                true => RangeState::Unknown,
                false => RangeState::free(),
            };
            self.range_maps
                .entry(name.clone())
                .or_insert_with(|| RangeMap::new(start));
        }
    }
}

/// Returns the next state of a range of the node that sent a heartbeat, if it changes.
fn next_state(now: Moment, entry: &RangeEntry, heartbeat: &NodeHeartbeat) -> Option<RangeState> {
    let server = heartbeat.member.server.as_ref();
    let holder = entry.state.lease()?.server.as_ref();
    let reported = server.map(|server| &server.incarnation);
    let restarted = holder
        .zip(reported)
        .is_some_and(|(holder, reported)| holder != reported);
    // A restarted node has heard a late heartbeat of an incarnation before the holder, which goes on holding
    // the range. If the host's clock was set back, and the holder has ended, the range lapses.
    if holder
        .zip(reported)
        .is_some_and(|(holder, reported)| reported.is_before(holder))
    {
        return None;
    }
    let mut reported = heartbeat.holding.iter().chain(&heartbeat.earlier_grants);
    let held = reported.any(|held| held.keys.common(&entry.keys).is_some());
    // A call to the earlier incarnation may have reached the current one.
    let nothing_inherited =
        heartbeat.granting == Granting::ByHeartbeat || (heartbeat.holding_complete && !held);
    match &entry.state {
        // A host runs one incarnation of its server at a time, so the holder has ended.
        _ if restarted && nothing_inherited => Some(RangeState::free()),
        RangeState::Held(lease) if restarted => Some(RangeState::releasing(now, lease)),
        // A restarted node that has not received its server's heartbeats yet reports no ranges,
        // while the server goes on holding what the node's earlier incarnation granted.
        _ if !heartbeat.holding_complete => None,
        RangeState::Held(lease) if server.is_none_or(|server| server.silent) => {
            Some(RangeState::releasing(now, lease))
        }
        RangeState::Releasing { since, target, .. } => {
            let applied = heartbeat
                .applied_reply
                .is_some_and(|sent_at| sent_at >= *since);
            (applied && !held)
                .then(|| RangeState::Free(released_range(entry, target.clone(), heartbeat)))
        }
        _ => None,
    }
}

/// Describes how a range that its server has released became free.
fn released_range(
    entry: &RangeEntry,
    target: Option<NodeName>,
    heartbeat: &NodeHeartbeat,
) -> FreeRange {
    let releases = heartbeat.released.iter().rev();
    let mut releases =
        releases.filter(|released| released.keys.common(&entry.keys) == Some(entry.keys));
    FreeRange {
        lapsed_at: None,
        handover: releases.next().map(|released| released.handover.clone()),
        target,
    }
}
