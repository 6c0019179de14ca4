//! Grants free ranges, and withdraws ranges from servers that leave.

use std::time::Duration;

use quetzalrack_core::ids::NodeName;
use quetzalrack_core::ids::ServiceName;
use quetzalrack_core::time::Moment;

use super::leader_machine::Leader;
use super::peer::Peer;
use super::range_entry::FreeRange;
use super::range_entry::RangeLease;
use super::range_entry::RangeState;
use super::rebalancing::RecentMove;
use crate::model::Handover;
use crate::model::KeyRange;
use crate::ownership::LeaseTimes;
use crate::placement::distribute_ranges;

/// How long the set of servers of a service must stay unchanged before its keys are first
/// distributed: a fleet starts within half a second, and keys that are granted too early must move
/// at once.
const SERVERS_STABLE_TIME: Duration = Duration::from_millis(1_500);
/// The longest wait for a stable set of servers.
const MAX_SERVERS_WAIT: Duration = Duration::from_secs(4);

/// The servers of a service, and the recent moves of its keys.
#[derive(Clone, Debug)]
pub(super) struct PlacementState {
    created_at: Moment,
    servers: Vec<NodeName>,
    servers_since: Moment,
    pub(super) rebalanced_at: Moment,
    pub(super) moves: Vec<RecentMove>,
}

impl Leader {
    /// Grants free ranges, withdraws those of servers that leave, and rebalances the load.
    pub(super) fn place_keys(&mut self, now: Moment) {
        let services: Vec<ServiceName> = self.range_maps.keys().cloned().collect();
        for service in services {
            self.track_servers(now, &service);
            if self.takeover.is_none() && self.record.takeover_complete {
                self.place_service_keys(now, &service);
            }
        }
    }

    /// Tracks since when the servers of a service are unchanged, also during a takeover.
    fn track_servers(&mut self, now: Moment, service: &ServiceName) {
        let servers = self.usable_servers(now, service);
        let placement = self
            .placements
            .entry(service.clone())
            .or_insert_with(|| PlacementState {
                created_at: now,
                servers: Vec::new(),
                servers_since: now,
                rebalanced_at: now,
                moves: Vec::new(),
            });
        if placement.servers != servers {
            placement.servers = servers;
            placement.servers_since = now;
        }
    }

    fn place_service_keys(&mut self, now: Moment, service: &ServiceName) {
        // Only recorded voters may hold keys, since a later leader asks only these.
        let mut targets = self.usable_servers(now, service);
        targets.retain(|node| self.is_durable_voter(node));
        let servers_stable = self.placements.get(service).is_some_and(|placement| {
            now.since(placement.servers_since) >= SERVERS_STABLE_TIME
                || now.since(placement.created_at) >= MAX_SERVERS_WAIT
        });
        if targets.is_empty() {
            return;
        }
        self.withdraw_leaving(now, service, &targets);
        let has_holders = self.range_maps.get(service).is_some_and(|range_map| {
            range_map
                .entries()
                .iter()
                .any(|entry| entry.state.lease().is_some())
        });
        if has_holders || servers_stable {
            self.grant_free(now, service, &targets);
            self.rebalance(now, service, &targets);
        }
    }

    /// Returns the nodes whose servers can be granted keys of a service.
    fn usable_servers(&self, now: Moment, service: &ServiceName) -> Vec<NodeName> {
        let usable = |peer: &Peer| {
            let member = &peer.member;
            let server = member.server.as_ref();
            let accepts_keys =
                server.is_some_and(|server| server.is_grantable() && !server.draining);
            let evacuated = self.intent.evacuated.contains(&member.zone);
            member.service == *service
                && accepts_keys
                && !evacuated
                && !member.leaving
                && peer.is_responsive(now)
        };
        let usable = self.peers.iter().filter(|(_, peer)| usable(peer));
        usable.map(|(node, _)| node.clone()).collect()
    }

    /// Withdraws keys from servers that leave or whose availability zone is being emptied.
    fn withdraw_leaving(&mut self, now: Moment, service: &ServiceName, targets: &[NodeName]) {
        let Some(range_map) = self.range_maps.get_mut(service) else {
            return;
        };
        for entry in range_map.entries_mut() {
            let RangeState::Held(lease) = &entry.state else {
                continue;
            };
            let peer = self.peers.get(&lease.node);
            let leaving = peer.is_some_and(|peer| {
                let server = peer.member.server.as_ref();
                server.is_some_and(|server| server.draining)
                    || self.intent.evacuated.contains(&peer.member.zone)
            });
            if leaving && !targets.contains(&lease.node) {
                entry.state = RangeState::releasing(now, lease);
            }
        }
    }

    fn grant_free(&mut self, now: Moment, service: &ServiceName, targets: &[NodeName]) {
        let confirmed = self.authority.confirmed_at(&self.times);
        let Some(range_map) = self.range_maps.get(service) else {
            return;
        };
        let free_ranges: Vec<(KeyRange, FreeRange)> = range_map
            .entries()
            .iter()
            .filter_map(|entry| match &entry.state {
                RangeState::Free(free_range) => Some((entry.keys, free_range.clone())),
                _ => None,
            })
            .filter(|(_, free_range)| {
                free_range
                    .lapsed_at
                    .is_none_or(|lapsed_at| confirmed > lapsed_at)
            })
            .collect();
        let chosen_target = |free_range: &FreeRange| {
            free_range
                .target
                .clone()
                .filter(|target| targets.contains(target))
        };
        let (assigned, unassigned): (Vec<_>, Vec<_>) = free_ranges
            .into_iter()
            .partition(|(_, free_range)| chosen_target(free_range).is_some());
        for (keys, free_range) in assigned {
            if let Some(node) = chosen_target(&free_range) {
                self.grant(now, service, keys, &node, free_range.handover);
            }
        }
        if unassigned.is_empty() {
            return;
        }
        let candidates = self.candidates(service, targets);
        let keys: Vec<KeyRange> = unassigned.iter().map(|(keys, _)| *keys).collect();
        for (index, keys, target) in distribute_ranges(&keys, &candidates) {
            let handover = unassigned
                .get(index)
                .and_then(|(_, free_range)| free_range.handover.clone());
            if let Some(node) = targets.get(target) {
                self.grant(now, service, keys, node, handover);
            }
        }
    }

    fn grant(
        &mut self,
        now: Moment,
        service: &ServiceName,
        keys: KeyRange,
        node: &NodeName,
        handover: Option<Handover>,
    ) {
        let server = self
            .peers
            .get(node)
            .and_then(|peer| peer.member.server.as_ref());
        let Some(server) = server.map(|server| server.incarnation.clone()) else {
            return;
        };
        self.last_fence = self.last_fence.next();
        let detail = format!("{service} {keys} to {node}, token {}", self.last_fence);
        self.log_entries.push(("keys_granted", detail));
        self.heartbeat_requests.insert(node.clone());
        let lease = RangeLease {
            node: node.clone(),
            server: Some(server),
            fence: self.last_fence,
            handover,
            expires_at: now
                + LeaseTimes::plus_clock_drift(self.authority.remaining(now, &self.times)),
        };
        if let Some(range_map) = self.range_maps.get_mut(service) {
            range_map.set(keys, RangeState::Held(lease));
        }
    }
}
