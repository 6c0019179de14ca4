//! The choice.

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

/// What the way to another zone counts like, in shares of a server's slots: the own zone is taken
/// until its server is this much fuller than another.
const ZONE_COST: f64 = 0.35;
/// How much of its cost is left to chance, so that nodes with the same table do not all choose the
/// same server.
const CHANCE: f64 = 0.1;
/// Below this fill a server has a free slot for the request in any case.
const ROOMY: f64 = 0.7;
/// What a share of failures counts like, in shares of a server's slots.
const FAILURE_COST: f64 = 2.0;
/// What a second of large answers before this one at the host's link counts like, for a request whose
/// answer will be large too.
const LINK_COST: f64 = 1.0;
/// What the way to another zone counts like beside [`ZONE_COST`], for a request whose answer will be
/// large: its bytes cross two links more, and nodes that follow a table half a second old would all
/// fill the same free link. With both, the way pays when it saves
/// 1.35 s.
const LARGE_ZONE_COST: f64 = 1.0;
/// What a cold server counts like; it bears a few requests a second.
const COLD_COST: f64 = 0.8;

/// Chooses nodes by the fill of their servers, the way, and what became of recent requests.
#[derive(Clone, Debug)]
pub struct LoadBalancer {
    zone: ZoneName,
    peers: BTreeMap<NodeName, PeerStats>,
    sizes: ResponseSizes,
    random: ChaCha8Rng,
}

impl LoadBalancer {
    /// Makes a chooser for a node in `zone`.
    pub fn new(zone: ZoneName, seed: u64) -> Self {
        Self {
            zone,
            peers: BTreeMap::new(),
            sizes: ResponseSizes::default(),
            random: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Chooses a node whose server runs a service, leaving out those in `tried`, for a request of
    /// `route`.
    pub fn choose(
        &mut self,
        now: Moment,
        directory: &Directory,
        service: &ServiceName,
        route: &RouteName,
        tried: &[NodeName],
    ) -> Option<NodeName> {
        let usable = directory.members.iter().filter(|(name, entry)| {
            entry.member.service == *service && is_open(entry) && !tried.contains(name)
        });
        let large = self.sizes.large(route).is_some();
        let mut best: Option<(f64, &NodeName)> = None;
        for (name, entry) in usable {
            let peer = self.peers.get(name);
            let chance = self.random.random::<f64>() * CHANCE;
            let link = match large {
                true => link_cost(now, &self.zone, entry, peer),
                false => 0.0,
            };
            let cost = cost(now, &self.zone, entry, peer) + link + chance;
            if best.is_none_or(|(least, _)| cost < least) {
                best = Some((cost, name));
            }
        }
        best.map(|(_, name)| name.clone())
    }

    /// Tells whether a node could lately not be reached.
    pub fn is_avoided(&self, now: Moment, node: &NodeName) -> bool {
        self.peers
            .get(node)
            .is_some_and(|peer| peer.is_avoided(now))
    }

    /// Learns how large an answer was.
    pub fn record_response_size(&mut self, route: &RouteName, bytes: usize) {
        self.sizes.learn(route, bytes);
    }

    /// Counts a request that is sent to a node.
    pub fn record_sent(&mut self, node: &NodeName) {
        self.peers.entry(node.clone()).or_default().record_sent();
    }

    /// Learns how a request at a node ended, and the load that came with the answer.
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

    /// Learns that a node could not be reached.
    pub fn record_unreachable(&mut self, now: Moment, node: &NodeName) {
        self.peers
            .entry(node.clone())
            .or_default()
            .record_unreachable(now);
    }
}

fn is_open(entry: &DirectoryEntry) -> bool {
    let server = entry.member.server.as_ref();
    entry.responsive && !entry.member.leaving && server.is_some_and(|server| !server.draining)
}

fn link_cost(
    now: Moment,
    zone: &ZoneName,
    entry: &DirectoryEntry,
    peer: Option<&PeerStats>,
) -> f64 {
    let reported = peer.and_then(|peer| peer.fresh(now));
    let link = reported.map_or(entry.load.link_backlog(), |load| f64::from(load.backlog_ms));
    let way = match entry.member.zone == *zone {
        true => 0.0,
        false => LARGE_ZONE_COST,
    };
    link / 1_000.0 * LINK_COST + way
}

fn cost(now: Moment, zone: &ZoneName, entry: &DirectoryEntry, peer: Option<&PeerStats>) -> f64 {
    let unknown = PeerStats::default();
    let peer = peer.unwrap_or(&unknown);
    let slots = entry
        .member
        .server
        .as_ref()
        .map_or(1, |server| server.slots);
    let fill = peer.fill(now, entry.load, slots);
    let way = if entry.member.zone == *zone {
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
    // Far beyond any fill: a node that can't be reached is the last choice.
    let away = if peer.is_avoided(now) { 10.0 } else { 0.0 };
    (fill - ROOMY).max(0.0) + way + cold + peer.failures() * FAILURE_COST + away
}
