//! Load balancing among the nodes of a service.

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

/// How many nodes are compared. Comparing only two keeps the ingresses from all choosing the same
/// one.
const CANDIDATES: usize = 2;
/// The shortest time between two probes of a straggler.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);
/// The largest share of requests that are copied to a straggler as a probe.
const PROBE_SHARE: f64 = 0.02;
/// The cost of a round trip to another zone, in microseconds.
const ZONE_COST_US: f64 = 1_000.0;
/// The ratio to the median up to which a latency counts as equal to it.
const NEAR_MEDIAN_RATIO: f64 = 1.5;
/// The latency assumed where none is known, in microseconds.
const UNKNOWN_LATENCY_US: f64 = 1_000.0;

/// Chooses the node for each request that any backend server of a service may serve.
#[derive(Clone, Debug)]
pub struct LoadBalancer {
    zone: ZoneName,
    policy: BalancingPolicy,
    peers: BTreeMap<NodeName, PeerStats>,
    next_index: usize,
    random: ChaCha8Rng,
}

struct Candidate<'a> {
    node: &'a RoutingNode,
    load: NodeLoad,
}

/// The median latency of a service's nodes, in microseconds.
#[derive(Clone, Copy, Debug)]
struct Median(f64);

impl LoadBalancer {
    /// Creates a load balancer for an ingress in `zone`; equal seeds make equal choices.
    pub fn new(zone: ZoneName, policy: BalancingPolicy, seed: u64) -> Self {
        Self {
            zone,
            policy,
            peers: BTreeMap::new(),
            next_index: 0,
            random: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Chooses among nodes of one service, all of which must be in service.
    pub fn choose(&mut self, now: Moment, nodes: &[&RoutingNode]) -> Option<ChosenNodes> {
        if nodes.is_empty() {
            return None;
        }
        let candidates: Vec<Candidate<'_>> =
            nodes.iter().map(|node| self.candidate(now, node)).collect();
        let index = match self.policy {
            BalancingPolicy::Default => return self.choose_default(now, &candidates),
            BalancingPolicy::Random => self.random.random_range(0..candidates.len()),
            BalancingPolicy::RoundRobin => {
                self.next_index = self.next_index.wrapping_add(1);
                self.next_index % candidates.len()
            }
            BalancingPolicy::LeastRequest => self.least_loaded(&candidates),
        };
        candidates.get(index).map(Candidate::without_probe)
    }

    /// Records that a request was sent to a node.
    pub fn record_sent(&mut self, node: &NodeName) {
        self.peers.entry(node.clone()).or_default().record_sent();
    }

    /// Records that a request sent to a node ended.
    pub fn record_ended(&mut self, node: &NodeName) {
        self.peers.entry(node.clone()).or_default().record_ended();
    }

    /// Records that an attempt at a node was abandoned because another node was faster.
    pub fn record_abandoned(&mut self, node: &NodeName) {
        self.peers
            .entry(node.clone())
            .or_default()
            .record_abandoned();
    }

    /// Records the load that a node reported with a response.
    pub fn record_load(&mut self, now: Moment, node: &NodeName, load: NodeLoad) {
        self.peers
            .entry(node.clone())
            .or_default()
            .record_load(now, load);
    }

    fn candidate<'a>(&mut self, now: Moment, node: &'a RoutingNode) -> Candidate<'a> {
        let peer = self.peers.entry(node.member.node.clone()).or_default();
        Candidate {
            node,
            load: peer.load(now, node),
        }
    }

    fn choose_default(&mut self, now: Moment, candidates: &[Candidate<'_>]) -> Option<ChosenNodes> {
        let median = median(candidates);
        self.update_stragglers(now, candidates, median);
        let (stragglers, normal): (Vec<&Candidate<'_>>, Vec<&Candidate<'_>>) =
            candidates.iter().partition(|each| self.is_straggler(each));
        if normal.is_empty() {
            return self
                .cheapest(now, &stragglers, median)
                .map(Candidate::without_probe);
        }
        let probe = self
            .straggler_to_probe(now, &stragglers)
            .map(Candidate::name);
        let node = self.cheapest(now, &normal, median)?.name();
        Some(ChosenNodes { node, probe })
    }

    /// Compares every node with the median of all, so that a slow backend server which reports
    /// that it is idle loses its share as soon as its node has measured it.
    fn update_stragglers(&mut self, now: Moment, candidates: &[Candidate<'_>], median: Median) {
        for each in candidates {
            if let Some(peer) = self.peers.get_mut(&each.node.member.node) {
                peer.update_status(now, f64::from(each.load.latency_us), median.0);
            }
        }
    }

    fn is_straggler(&self, candidate: &Candidate<'_>) -> bool {
        let peer = self.peers.get(&candidate.node.member.node);
        peer.is_some_and(PeerStats::is_straggler)
    }

    /// Returns a straggler to probe with a copy of this request, if a probe is due.
    fn straggler_to_probe<'a, 'b>(
        &mut self,
        now: Moment,
        stragglers: &[&'a Candidate<'b>],
    ) -> Option<&'a Candidate<'b>> {
        if stragglers.is_empty() || !self.random.random_bool(PROBE_SHARE) {
            return None;
        }
        let index = self.random.random_range(0..stragglers.len());
        let chosen = *stragglers.get(index)?;
        let peer = self.peers.get_mut(&chosen.node.member.node)?;
        if now.since(peer.last_probe()) < PROBE_INTERVAL {
            return None;
        }
        peer.set_last_probe(now);
        Some(chosen)
    }

    fn cheapest<'a, 'b>(
        &mut self,
        now: Moment,
        nodes: &[&'a Candidate<'b>],
        median: Median,
    ) -> Option<&'a Candidate<'b>> {
        let compared = CANDIDATES.min(nodes.len());
        let indices = rand::seq::index::sample(&mut self.random, nodes.len(), compared);
        indices
            .iter()
            .filter_map(|index| nodes.get(index).copied())
            .min_by(|a, b| {
                let (a, b) = (self.cost(now, a, median), self.cost(now, b, median));
                a.total_cmp(&b)
            })
    }

    /// Returns the expected cost of a request: its latency, scaled by the node's utilization, plus
    /// the round trip to another zone. So the own zone is preferred while its higher utilization
    /// costs less than the round trip. Latencies near the median count as equal, because noise in
    /// them would otherwise send every request to one node.
    fn cost(&self, now: Moment, candidate: &Candidate<'_>, median: Median) -> f64 {
        let latency = match f64::from(candidate.load.latency_us) {
            latency if latency <= median.0 * NEAR_MEDIAN_RATIO => median.0.max(UNKNOWN_LATENCY_US),
            latency => latency,
        };
        let limit = f64::from(candidate.load.limit.0.max(1));
        let utilization = f64::from(candidate.load.in_flight.0) / limit;
        let peer = self.peers.get(&candidate.node.member.node);
        let weight = peer.map_or(1.0, |peer| peer.weight(now));
        let zone_cost = match candidate.node.member.zone == self.zone {
            true => 0.0,
            false => ZONE_COST_US,
        };
        (latency * (0.5 + utilization) + zone_cost) / weight
    }

    fn least_loaded(&mut self, candidates: &[Candidate<'_>]) -> usize {
        let start = self.random.random_range(0..candidates.len());
        let order = (0..candidates.len()).map(|step| (start + step) % candidates.len());
        order
            .min_by_key(|index| {
                candidates
                    .get(*index)
                    .map_or(u32::MAX, |each| each.load.in_flight.0)
            })
            .unwrap_or(start)
    }
}

/// Returns the lower median of the known latencies, or zero.
fn median(candidates: &[Candidate<'_>]) -> Median {
    let mut latencies: Vec<f64> = candidates
        .iter()
        .map(|each| f64::from(each.load.latency_us))
        .filter(|latency| *latency > 0.0)
        .collect();
    latencies.sort_by(f64::total_cmp);
    let middle = latencies.len().saturating_sub(1) / 2;
    Median(latencies.get(middle).copied().unwrap_or(0.0))
}

impl Candidate<'_> {
    fn without_probe(&self) -> ChosenNodes {
        ChosenNodes {
            node: self.name(),
            probe: None,
        }
    }

    fn name(&self) -> NodeName {
        self.node.member.node.clone()
    }
}
