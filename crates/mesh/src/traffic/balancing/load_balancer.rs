//! Load balancing among the nodes of a service.

use std::collections::BTreeMap;

use quetzalrack_core::ids::NodeName;
use quetzalrack_core::ids::RouteName;
use quetzalrack_core::ids::ServiceName;
use quetzalrack_core::ids::ZoneName;
use quetzalrack_core::time::Moment;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::peer_stats::PeerStats;
use crate::ownership::Directory;
use crate::ownership::DirectoryEntry;
use crate::ownership::NodeLoad;
use crate::traffic::link::ResponseSizes;

/// The cost of another zone, as utilization of a server: the own zone is preferred until its server
/// is this much busier than another.
const ZONE_COST: f64 = 0.35;
/// The largest random cost, so that nodes with the same table do not all choose the same server.
const MAX_RANDOM_COST: f64 = 0.1;
/// The utilization below which a server certainly has a free slot for the request.
const FREE_UTILIZATION: f64 = 0.7;
/// The cost of a failure rate of one, as utilization of a server.
const FAILURE_COST: f64 = 2.0;
/// The cost per second of backlog at the host's link, for a request whose response will be large.
const LINK_COST_PER_SECOND: f64 = 1.0;
/// The cost of another zone in addition to [`ZONE_COST`], for a request whose response will be large:
/// its bytes cross two more links, and nodes that follow a table half a second old would all fill the
/// same free link. With both costs, another zone is worthwhile when it saves 1.35 s.
const LARGE_ZONE_COST: f64 = 1.0;
/// The cost of a cold server, which can handle only a few requests per second.
const COLD_COST: f64 = 0.8;

/// Chooses nodes by the utilization of their servers, their zone, and the outcome of recent
/// requests.
#[derive(Clone, Debug)]
pub struct LoadBalancer {
    zone: ZoneName,
    peers: BTreeMap<NodeName, PeerStats>,
    sizes: ResponseSizes,
    random: ChaCha8Rng,
}

impl LoadBalancer {
    /// Creates a load balancer for a node in `zone`; equal seeds make equal choices.
    pub fn new(zone: ZoneName, seed: u64) -> Self {
        Self {
            zone,
            peers: BTreeMap::new(),
            sizes: ResponseSizes::default(),
            random: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Chooses a node for a request of `route` among those whose server runs the service, except
    /// the nodes in `tried`.
    pub fn choose(
        &mut self,
        now: Moment,
        directory: &Directory,
        service: &ServiceName,
        route: &RouteName,
        tried: &[NodeName],
    ) -> Option<NodeName> {
        let usable = directory.members.iter().filter(|(name, entry)| {
            entry.member.service == *service && entry.is_open() && !tried.contains(name)
        });
        let large = self.sizes.large(route).is_some();
        let mut best: Option<(f64, &NodeName)> = None;
        for (name, entry) in usable {
            let peer = self.peers.get(name);
            let random_cost = self.random.random::<f64>() * MAX_RANDOM_COST;
            let link = match large {
                true => link_cost(now, &self.zone, entry, peer),
                false => 0.0,
            };
            let cost = cost(now, &self.zone, entry, peer) + link + random_cost;
            if best.is_none_or(|(least, _)| cost < least) {
                best = Some((cost, name));
            }
        }
        best.map(|(_, name)| name.clone())
    }

    /// Returns whether a node is avoided because it was unreachable lately.
    pub fn is_avoided(&self, now: Moment, node: &NodeName) -> bool {
        self.peers
            .get(node)
            .is_some_and(|peer| peer.is_avoided(now))
    }

    /// Records the size of a response.
    pub fn record_response_size(&mut self, route: &RouteName, bytes: usize) {
        self.sizes.record(route, bytes);
    }

    /// Records that a request was sent to a node.
    pub fn record_sent(&mut self, node: &NodeName) {
        self.peers.entry(node.clone()).or_default().record_sent();
    }

    /// Records how a request at a node ended, and the load reported with the response.
    pub fn record_ended(
        &mut self,
        now: Moment,
        node: &NodeName,
        load: Option<NodeLoad>,
        failed: bool,
    ) {
        self.peers
            .entry(node.clone())
            .or_default()
            .record_ended(now, load, failed);
    }

    /// Records that a node was unreachable.
    pub fn record_unreachable(&mut self, now: Moment, node: &NodeName) {
        self.peers
            .entry(node.clone())
            .or_default()
            .record_unreachable(now);
    }
}

fn link_cost(
    now: Moment,
    zone: &ZoneName,
    entry: &DirectoryEntry,
    peer: Option<&PeerStats>,
) -> f64 {
    let reported = peer.and_then(|peer| peer.recent_load(now));
    let link = reported.map_or(entry.load.link_backlog(), |load| f64::from(load.backlog_ms));
    let zone_cost = match entry.member.zone == *zone {
        true => 0.0,
        false => LARGE_ZONE_COST,
    };
    link / 1_000.0 * LINK_COST_PER_SECOND + zone_cost
}

fn cost(now: Moment, zone: &ZoneName, entry: &DirectoryEntry, peer: Option<&PeerStats>) -> f64 {
    let unknown = PeerStats::default();
    let peer = peer.unwrap_or(&unknown);
    let slots = entry
        .member
        .server
        .as_ref()
        .map_or(1, |server| server.slots);
    let utilization = peer.utilization(now, entry.load, slots);
    let zone_cost = if entry.member.zone == *zone {
        0.0
    } else {
        ZONE_COST
    };
    let cold = entry
        .member
        .server
        .as_ref()
        .is_some_and(|server| server.cold);
    let cold = if cold { COLD_COST } else { 0.0 };
    // Far beyond any utilization: an unreachable node is the last choice.
    let unreachable_cost = if peer.is_avoided(now) { 10.0 } else { 0.0 };
    (utilization - FREE_UTILIZATION).max(0.0)
        + zone_cost
        + cold
        + peer.failure_rate() * FAILURE_COST
        + unreachable_cost
}
