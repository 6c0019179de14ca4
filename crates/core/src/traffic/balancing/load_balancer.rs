//! The choice among the nodes of a service.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::BalancingPolicy;
use super::ChosenNodes;
use super::NodeLoad;
use super::peer_stats::PeerStats;
use crate::cluster::RoutingNode;
use crate::ids::NodeName;
use crate::ids::ZoneName;
use crate::time::Moment;

/// How many nodes are compared. Two keep every ingress from choosing the same one.
const COMPARED: usize = 2;
/// How long a straggler goes without a request before it is measured again.
const TRICKLE_PAUSE: Duration = Duration::from_millis(500);
/// The most requests that go to a straggler to measure it, as a share of all.
const TRICKLE_SHARE: f64 = 0.02;
/// What the hop to another zone and back costs, in microseconds.
const ZONE_COST_US: f64 = 1_000.0;
/// Up to how many times the median a latency counts as equal to it.
const NEAR: f64 = 1.5;
/// The latency assumed where none is known, in microseconds.
const UNKNOWN_US: f64 = 1_000.0;

/// Chooses the node for each request that any backend server of a service may answer.
#[derive(Clone, Debug)]
pub struct LoadBalancer {
    zone: ZoneName,
    policy: BalancingPolicy,
    peers: BTreeMap<NodeName, PeerStats>,
    turn: usize,
    random: ChaCha8Rng,
}

struct Rated<'a> {
    node: &'a RoutingNode,
    load: NodeLoad,
}

/// Is the median latency of a service's nodes, in microseconds.
#[derive(Clone, Copy, Debug)]
struct Median(f64);

impl LoadBalancer {
    /// Makes a chooser for an ingress in `zone`; equal seeds make equal choices.
    pub fn new(zone: ZoneName, policy: BalancingPolicy, seed: u64) -> Self {
        Self {
            zone,
            policy,
            peers: BTreeMap::new(),
            turn: 0,
            random: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Chooses among the nodes, all of them in service and of one service.
    pub fn choose(&mut self, now: Moment, nodes: &[&RoutingNode]) -> Option<ChosenNodes> {
        if nodes.is_empty() {
            return None;
        }
        let rated: Vec<Rated<'_>> = nodes.iter().map(|node| self.rate(now, node)).collect();
        let place = match self.policy {
            BalancingPolicy::Default => return self.choose_cheap(now, &rated),
            BalancingPolicy::Random => self.random.random_range(0..rated.len()),
            BalancingPolicy::RoundRobin => {
                self.turn = self.turn.wrapping_add(1);
                self.turn % rated.len()
            }
            BalancingPolicy::LeastRequest => self.least_loaded(&rated),
        };
        rated.get(place).map(Rated::alone)
    }

    /// Counts a request sent to a node.
    pub fn record_sent(&mut self, node: &NodeName) {
        self.peers.entry(node.clone()).or_default().record_sent();
    }

    /// Counts the end of a request sent to a node.
    pub fn record_ended(&mut self, node: &NodeName) {
        self.peers.entry(node.clone()).or_default().record_ended();
    }

    /// Learns that an attempt at a node was given up because another node was quicker.
    pub fn record_abandoned(&mut self, node: &NodeName) {
        self.peers
            .entry(node.clone())
            .or_default()
            .record_abandoned();
    }

    /// Learns the load that a node reported on an answer.
    pub fn record_load(&mut self, now: Moment, node: &NodeName, load: NodeLoad) {
        self.peers
            .entry(node.clone())
            .or_default()
            .record_load(now, load);
    }

    fn rate<'a>(&mut self, now: Moment, node: &'a RoutingNode) -> Rated<'a> {
        let peer = self.peers.entry(node.member.node.clone()).or_default();
        Rated {
            node,
            load: peer.load(now, node),
        }
    }

    fn choose_cheap(&mut self, now: Moment, rated: &[Rated<'_>]) -> Option<ChosenNodes> {
        let median = median(rated);
        self.judge(now, rated, median);
        let (slow, good): (Vec<&Rated<'_>>, Vec<&Rated<'_>>) =
            rated.iter().partition(|each| self.is_straggler(each));
        if good.is_empty() {
            return self.cheapest(now, &slow, median).map(Rated::alone);
        }
        let probe = self.due_straggler(now, &slow).map(Rated::name);
        let node = self.cheapest(now, &good, median)?.name();
        Some(ChosenNodes { node, probe })
    }

    /// Judges every node by the median of all, so that a backend server which is slow although its
    /// report claims it is idle loses its share as soon as its neighbour has measured it.
    fn judge(&mut self, now: Moment, rated: &[Rated<'_>], median: Median) {
        for each in rated {
            if let Some(peer) = self.peers.get_mut(&each.node.member.node) {
                peer.judge(now, f64::from(each.load.latency_us), median.0);
            }
        }
    }

    fn is_straggler(&self, rated: &Rated<'_>) -> bool {
        let peer = self.peers.get(&rated.node.member.node);
        peer.is_some_and(PeerStats::is_straggler)
    }

    /// Returns the straggler to be measured with this request, if one is due.
    fn due_straggler<'a, 'b>(
        &mut self,
        now: Moment,
        slow: &[&'a Rated<'b>],
    ) -> Option<&'a Rated<'b>> {
        if slow.is_empty() || !self.random.random_bool(TRICKLE_SHARE) {
            return None;
        }
        let place = self.random.random_range(0..slow.len());
        let chosen = *slow.get(place)?;
        let peer = self.peers.get_mut(&chosen.node.member.node)?;
        if now.since(peer.measured()) < TRICKLE_PAUSE {
            return None;
        }
        peer.set_measured(now);
        Some(chosen)
    }

    fn cheapest<'a, 'b>(
        &mut self,
        now: Moment,
        nodes: &[&'a Rated<'b>],
        median: Median,
    ) -> Option<&'a Rated<'b>> {
        let compared = COMPARED.min(nodes.len());
        let places = rand::seq::index::sample(&mut self.random, nodes.len(), compared);
        places
            .iter()
            .filter_map(|place| nodes.get(place).copied())
            .min_by(|a, b| {
                let (a, b) = (self.cost(now, a, median), self.cost(now, b, median));
                a.total_cmp(&b)
            })
    }

    /// Returns the expected cost of a request: its latency, more as the node fills up, and the way
    /// to another zone. So the own zone is preferred while its load share is no higher than what
    /// the way costs. Latencies near the median count as equal, or the noise in them would send
    /// every request to one node.
    fn cost(&self, now: Moment, rated: &Rated<'_>, median: Median) -> f64 {
        let latency = match f64::from(rated.load.latency_us) {
            latency if latency <= median.0 * NEAR => median.0.max(UNKNOWN_US),
            latency => latency,
        };
        let limit = f64::from(rated.load.limit.0.max(1));
        let share = f64::from(rated.load.in_flight.0) / limit;
        let peer = self.peers.get(&rated.node.member.node);
        let weight = peer.map_or(1.0, |peer| peer.weight(now));
        let way = match rated.node.member.zone == self.zone {
            true => 0.0,
            false => ZONE_COST_US,
        };
        (latency * (0.5 + share) + way) / weight
    }

    fn least_loaded(&mut self, rated: &[Rated<'_>]) -> usize {
        let start = self.random.random_range(0..rated.len());
        let order = (0..rated.len()).map(|step| (start + step) % rated.len());
        order
            .min_by_key(|place| {
                rated
                    .get(*place)
                    .map_or(u32::MAX, |each| each.load.in_flight.0)
            })
            .unwrap_or(start)
    }
}

/// Returns the lower median of the known latencies, or zero.
fn median(rated: &[Rated<'_>]) -> Median {
    let mut latencies: Vec<f64> = rated
        .iter()
        .map(|each| f64::from(each.load.latency_us))
        .filter(|latency| *latency > 0.0)
        .collect();
    latencies.sort_by(f64::total_cmp);
    let middle = latencies.len().saturating_sub(1) / 2;
    Median(latencies.get(middle).copied().unwrap_or(0.0))
}

impl Rated<'_> {
    fn alone(&self) -> ChosenNodes {
        ChosenNodes {
            node: self.name(),
            probe: None,
        }
    }

    fn name(&self) -> NodeName {
        self.node.member.node.clone()
    }
}
