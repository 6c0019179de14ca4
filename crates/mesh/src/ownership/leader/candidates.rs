//! The backend servers of a service as input for placement.

use quetzalrack_core::ids::NodeName;
use quetzalrack_core::ids::ServiceName;
use quetzalrack_core::time::Moment;

use super::leader_machine::Leader;
use super::peer::Peer;
use super::rebalancing::RecentMove;
use crate::ownership::KeyLoad;
use crate::placement::Candidate;

/// The most that a server's utilization counts as load: enough that the server is granted no more
/// keys, too little for it to lose any. Utilization is bounded by what the node queues, and is high
/// for tenths of a second when other work on the host slows the server down.
const MAX_UTILIZATION_LOAD: f64 = 0.8;
/// The largest factor by which a server counts as slower or faster than the usual server of its
/// service, since the average of a few responses says little.
const MAX_SLOWNESS: f64 = 2.0;

impl Leader {
    pub(super) fn candidates(&self, service: &ServiceName, targets: &[NodeName]) -> Vec<Candidate> {
        let moves = self
            .placements
            .get(service)
            .map(|placement| placement.moves.as_slice());
        let moves = moves.unwrap_or_default();
        let usual_time = self.usual_service_time(targets);
        targets
            .iter()
            .map(|node| self.candidate(service, node, moves, usual_time))
            .collect()
    }

    /// Returns the phase of a server's heartbeats as a fraction of their interval.
    fn heartbeat_phase(&self, peer: &Peer) -> f64 {
        let interval = self
            .times
            .server_heartbeat
            .as_secs_f64()
            .max(f64::MIN_POSITIVE);
        let at = peer.server_heartbeat.since(Moment::default()).as_secs_f64();
        (at / interval).fract()
    }

    /// Returns the median service time of these servers in seconds, or 0 if none is known.
    fn usual_service_time(&self, targets: &[NodeName]) -> f64 {
        let peers = targets.iter().filter_map(|node| self.peers.get(node));
        let mut service_times: Vec<f64> = peers
            .map(|peer| peer.service_time)
            .filter(|time| *time > 0.0)
            .collect();
        service_times.sort_by(f64::total_cmp);
        service_times
            .get(service_times.len() / 2)
            .copied()
            .unwrap_or_default()
    }

    /// Describes a server as if the moves of the last seconds were complete: until the new holder
    /// has counted requests for a while, neither side would report the load of a moved range.
    fn candidate(
        &self,
        service: &ServiceName,
        node: &NodeName,
        moves: &[RecentMove],
        usual_time: f64,
    ) -> Candidate {
        let Some(peer) = self.peers.get(node) else {
            return Candidate::default();
        };
        let entries = self
            .range_maps
            .get(service)
            .map(|range_map| range_map.entries());
        let own = entries.unwrap_or_default().iter().filter(|entry| {
            let lease = entry.state.lease();
            lease.is_some_and(|lease| lease.node == *node)
        });
        let server = peer.member.server.as_ref();
        // A server that names a rate limit can use fewer slots than it has.
        let usable = Some(peer.load.limit).filter(|limit| *limit > 0);
        let slots = server.map_or(1, |server| {
            u32::from(usable.map_or(server.slots, |usable| usable.min(server.slots)))
        });
        let slots = slots.max(1);
        let moved = |load: &&KeyLoad| moves.iter().any(|recent| recent.overlaps(&load.keys));
        let staying = peer.key_loads.iter().filter(|load| !moved(load));
        let key_loads: Vec<KeyLoad> = staying.copied().collect();
        let incoming = moves.iter().filter(|recent| recent.target == *node);
        let slowness = match peer.service_time > 0.0 && usual_time > 0.0 {
            true => (peer.service_time / usual_time).clamp(1.0 / MAX_SLOWNESS, MAX_SLOWNESS),
            false => 1.0,
        };
        let busy = key_loads.iter().map(KeyLoad::slots).sum::<f64>()
            + incoming.map(|recent| recent.usual_slots).sum::<f64>() * slowness;
        Candidate {
            keys: own.clone().map(|entry| entry.keys.size()).sum(),
            ranges: own.count(),
            slots,
            cold: server.is_some_and(|server| server.cold),
            load: (busy / f64::from(slots)).max(peer.utilization.min(MAX_UTILIZATION_LOAD)),
            heartbeat_phase: self.heartbeat_phase(peer),
            slowness,
            key_loads,
        }
    }
}
