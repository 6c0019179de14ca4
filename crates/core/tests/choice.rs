//! The load balancer avoids stragglers and does not overload nodes.

#![allow(clippy::unwrap_used)]

use std::collections::BTreeMap;
use std::time::Duration;

use quetzalrack_core::cluster::Member;
use quetzalrack_core::cluster::RoutingNode;
use quetzalrack_core::cluster::ServerState;
use quetzalrack_core::ids::Incarnation;
use quetzalrack_core::ids::NodeName;
use quetzalrack_core::ids::SlotCount;
use quetzalrack_core::time::Moment;
use quetzalrack_core::traffic::balancing::BalancingPolicy;
use quetzalrack_core::traffic::balancing::LoadBalancer;
use quetzalrack_core::traffic::balancing::NodeLoad;

const STEP: Duration = Duration::from_millis(1);

fn node(index: usize) -> RoutingNode {
    let zones = ["za", "zb", "zc", "zd"];
    let unused_address = "127.0.0.1:1".parse().unwrap();
    RoutingNode {
        member: Member {
            node: format!("node-{index}").parse().unwrap(),
            incarnation: Incarnation(1),
            zone: zones[index % 4].parse().unwrap(),
            server: None,
            service: None,
            traffic: unused_address,
            heartbeat: unused_address,
            control: unused_address,
            admin: unused_address,
        },
        in_service: true,
        state: ServerState::Warm,
        limit: SlotCount(18),
        in_flight: SlotCount(0),
        latency_us: 5_000,
    }
}

struct Bench {
    balancer: LoadBalancer,
    nodes: Vec<RoutingNode>,
    /// The latency that each node measures at its backend server, in microseconds.
    latency: Vec<u32>,
    in_flight: Vec<u32>,
    now: Moment,
    /// The node whose requests are all answered first by a hedge at another node.
    hedged: Option<usize>,
}

impl Bench {
    fn new(policy: BalancingPolicy) -> Self {
        Self {
            balancer: LoadBalancer::new("za".parse().unwrap(), policy, 7),
            nodes: (0..4).map(node).collect(),
            latency: vec![5_000; 4],
            in_flight: vec![4; 4],
            now: Moment(1_000_000_000),
            hedged: None,
        }
    }

    /// Makes one choice a millisecond; every chosen or probed node reports its load with its
    /// answer.
    fn advance(&mut self, span: Duration) -> BTreeMap<NodeName, u32> {
        let mut counts = BTreeMap::new();
        let end = self.now + span;
        while self.now < end {
            self.now = self.now + STEP;
            let nodes: Vec<&RoutingNode> = self.nodes.iter().collect();
            let chosen = self.balancer.choose(self.now, &nodes).unwrap();
            for name in [Some(chosen.node), chosen.probe].into_iter().flatten() {
                self.answer(&name);
                *counts.entry(name).or_insert(0) += 1;
            }
        }
        counts
    }

    fn answer(&mut self, name: &NodeName) {
        let index = self.nodes.iter().position(|node| node.member.node == *name);
        let index = index.unwrap();
        self.balancer.record_sent(name);
        self.balancer.record_ended(name);
        let load = NodeLoad {
            in_flight: SlotCount(self.in_flight[index]),
            limit: SlotCount(18),
            latency_us: self.latency[index],
        };
        match self.hedged == Some(index) {
            true => self.balancer.record_abandoned(name),
            false => self.balancer.record_load(self.now, name, load),
        }
    }
}

fn share(counts: &BTreeMap<NodeName, u32>, index: usize) -> f64 {
    let name: NodeName = format!("node-{index}").parse().unwrap();
    let all: u32 = counts.values().sum();
    f64::from(counts.get(&name).copied().unwrap_or(0)) / f64::from(all)
}

/// A straggler reports no requests in flight, but its node measures ten times the latency of the
/// others. Within a second it gets only enough requests to go on being measured, and it gets its
/// share back gradually when it recovers.
#[test]
fn idle_straggler() {
    let mut bench = Bench::new(BalancingPolicy::Default);
    bench.advance(Duration::from_secs(1));
    bench.latency[2] = 50_000;
    bench.in_flight[2] = 0;
    bench.nodes[2].latency_us = 50_000;
    bench.advance(Duration::from_millis(100));
    let slowed = bench.advance(Duration::from_secs(3));
    assert!(share(&slowed, 2) < 0.005, "{slowed:?}");
    assert!(share(&slowed, 2) > 0.0, "it must still be measured");
    bench.latency[2] = 5_000;
    bench.in_flight[2] = 4;
    bench.nodes[2].latency_us = 5_000;
    bench.advance(Duration::from_secs(3));
    let recovered = bench.advance(Duration::from_secs(2));
    assert!(share(&recovered, 2) > 0.1, "{recovered:?}");
}

/// A hedge answers before the straggler each time, so the straggler never reports its latency. The
/// ingress detects it from a few abandoned attempts, and uses it again when it answers.
#[test]
fn hedged_straggler() {
    let mut bench = Bench::new(BalancingPolicy::Default);
    let name: NodeName = "node-2".parse().unwrap();
    bench.advance(Duration::from_millis(500));
    for _ in 0..3 {
        bench.balancer.record_abandoned(&name);
    }
    bench.hedged = Some(2);
    let slowed = bench.advance(Duration::from_secs(2));
    assert!(share(&slowed, 2) < 0.005, "{slowed:?}");
    bench.hedged = None;
    bench.advance(Duration::from_secs(3));
    let recovered = bench.advance(Duration::from_secs(1));
    assert!(share(&recovered, 2) > 0.1, "{recovered:?}");
}

/// Two of four nodes are slow: the two quick ones get nearly all requests.
#[test]
fn two_stragglers() {
    let mut bench = Bench::new(BalancingPolicy::Default);
    for slow in [1, 2] {
        bench.latency[slow] = 50_000;
        bench.nodes[slow].latency_us = 50_000;
    }
    bench.advance(Duration::from_millis(200));
    let counts = bench.advance(Duration::from_secs(3));
    assert!(share(&counts, 1) + share(&counts, 2) < 0.01, "{counts:?}");
}

/// All nodes are equally slow: none is a straggler, and all are used.
#[test]
fn all_slow() {
    let mut bench = Bench::new(BalancingPolicy::Default);
    bench.latency = vec![50_000; 4];
    let counts = bench.advance(Duration::from_secs(3));
    assert!(
        (0..4).all(|index| share(&counts, index) > 0.1),
        "{counts:?}"
    );
}

/// The local zone is preferred until it is fuller than the others.
#[test]
fn full_local_zone() {
    let mut bench = Bench::new(BalancingPolicy::Default);
    let even = bench.advance(Duration::from_secs(2));
    assert!(share(&even, 0) > 0.4, "{even:?}");
    bench.in_flight[0] = 17;
    bench.nodes[0].in_flight = SlotCount(17);
    bench.advance(Duration::from_millis(100));
    let full = bench.advance(Duration::from_secs(2));
    assert!(share(&full, 0) < 0.1, "{full:?}");
}

/// Equal seeds and events make equal choices.
#[test]
fn same_seed() {
    let run = || Bench::new(BalancingPolicy::Default).advance(Duration::from_secs(1));
    assert_eq!(run(), run());
}

/// The baseline policies ignore stragglers: round robin gives each node a quarter.
#[test]
fn round_robin() {
    let mut bench = Bench::new(BalancingPolicy::RoundRobin);
    bench.latency[2] = 50_000;
    let counts = bench.advance(Duration::from_secs(1));
    assert!((0..4).all(|index| (share(&counts, index) - 0.25).abs() < 0.01));
}
