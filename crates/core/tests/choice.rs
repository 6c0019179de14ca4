//! The choice among nodes keeps away from stragglers and fills nobody over.

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
    let nowhere = "127.0.0.1:1".parse().unwrap();
    RoutingNode {
        member: Member {
            node: format!("node-{index}").parse().unwrap(),
            incarnation: Incarnation(1),
            zone: zones[index % 4].parse().unwrap(),
            server: None,
            service: None,
            traffic: nowhere,
            heartbeat: nowhere,
            control: nowhere,
            admin: nowhere,
        },
        in_service: true,
        state: ServerState::Warm,
        limit: SlotCount(18),
        in_flight: SlotCount(0),
        latency_us: 5_000,
    }
}

struct Bench {
    chooser: LoadBalancer,
    nodes: Vec<RoutingNode>,
    /// What each node's neighbour measures, in microseconds.
    latency: Vec<u32>,
    in_flight: Vec<u32>,
    now: Moment,
    /// The node whose answers are all overtaken by a hedge.
    overtaken: Option<usize>,
}

impl Bench {
    fn new(policy: BalancingPolicy) -> Self {
        Self {
            chooser: LoadBalancer::new("za".parse().unwrap(), policy, 7),
            nodes: (0..4).map(node).collect(),
            latency: vec![5_000; 4],
            in_flight: vec![4; 4],
            now: Moment(1_000_000_000),
            overtaken: None,
        }
    }

    /// Makes one choice a millisecond; every chosen or measured node reports its load on its answer.
    fn pass(&mut self, span: Duration) -> BTreeMap<NodeName, u32> {
        let mut counts = BTreeMap::new();
        let end = self.now + span;
        while self.now < end {
            self.now = self.now + STEP;
            let nodes: Vec<&RoutingNode> = self.nodes.iter().collect();
            let chosen = self.chooser.choose(self.now, &nodes).unwrap();
            for name in [Some(chosen.node), chosen.probe].into_iter().flatten() {
                self.answer(&name);
                *counts.entry(name).or_insert(0) += 1;
            }
        }
        counts
    }

    fn answer(&mut self, name: &NodeName) {
        let place = self.nodes.iter().position(|node| node.member.node == *name);
        let place = place.unwrap();
        self.chooser.record_sent(name);
        self.chooser.record_ended(name);
        let load = NodeLoad {
            in_flight: SlotCount(self.in_flight[place]),
            limit: SlotCount(18),
            latency_us: self.latency[place],
        };
        match self.overtaken == Some(place) {
            true => self.chooser.record_abandoned(name),
            false => self.chooser.record_load(self.now, name, load),
        }
    }
}

fn share(counts: &BTreeMap<NodeName, u32>, index: usize) -> f64 {
    let name: NodeName = format!("node-{index}").parse().unwrap();
    let all: u32 = counts.values().sum();
    f64::from(counts.get(&name).copied().unwrap_or(0)) / f64::from(all)
}

/// A straggler claims that it is idle, and its in-flight count is low. Its neighbour measures ten
/// times the latency of the others: within a second it keeps no more than a trickle, and when it
/// recovers it comes back step by step.
#[test]
fn idle_straggler() {
    let mut bench = Bench::new(BalancingPolicy::Default);
    bench.pass(Duration::from_secs(1));
    bench.latency[2] = 50_000;
    bench.in_flight[2] = 0;
    bench.nodes[2].latency_us = 50_000;
    bench.pass(Duration::from_millis(100));
    let slowed = bench.pass(Duration::from_secs(3));
    assert!(share(&slowed, 2) < 0.005, "{slowed:?}");
    assert!(share(&slowed, 2) > 0.0, "it must go on being measured");
    bench.latency[2] = 5_000;
    bench.in_flight[2] = 4;
    bench.nodes[2].latency_us = 5_000;
    bench.pass(Duration::from_secs(3));
    let back = bench.pass(Duration::from_secs(2));
    assert!(share(&back, 2) > 0.1, "{back:?}");
}

/// Every answer of a straggler is overtaken by a hedge, so it never reports its latency. The ingress
/// notices by itself after a few, and takes it back when it answers again.
#[test]
fn overtaken_straggler() {
    let mut bench = Bench::new(BalancingPolicy::Default);
    let name: NodeName = "node-2".parse().unwrap();
    bench.pass(Duration::from_millis(500));
    for _ in 0..3 {
        bench.chooser.record_abandoned(&name);
    }
    bench.overtaken = Some(2);
    let slowed = bench.pass(Duration::from_secs(2));
    assert!(share(&slowed, 2) < 0.005, "{slowed:?}");
    bench.overtaken = None;
    bench.pass(Duration::from_secs(3));
    let back = bench.pass(Duration::from_secs(1));
    assert!(share(&back, 2) > 0.1, "{back:?}");
}

/// Two of four are slow: the two quick ones get nearly all.
#[test]
fn two_stragglers() {
    let mut bench = Bench::new(BalancingPolicy::Default);
    for slow in [1, 2] {
        bench.latency[slow] = 50_000;
        bench.nodes[slow].latency_us = 50_000;
    }
    bench.pass(Duration::from_millis(200));
    let counts = bench.pass(Duration::from_secs(3));
    assert!(share(&counts, 1) + share(&counts, 2) < 0.01, "{counts:?}");
}

/// All are slow alike: none is a straggler, and all are used.
#[test]
fn all_slow() {
    let mut bench = Bench::new(BalancingPolicy::Default);
    bench.latency = vec![50_000; 4];
    let counts = bench.pass(Duration::from_secs(3));
    assert!(
        (0..4).all(|index| share(&counts, index) > 0.1),
        "{counts:?}"
    );
}

/// The own zone is preferred while it has room, and no longer once it is fuller than the others.
#[test]
fn zone_yields() {
    let mut bench = Bench::new(BalancingPolicy::Default);
    let calm = bench.pass(Duration::from_secs(2));
    assert!(share(&calm, 0) > 0.4, "{calm:?}");
    bench.in_flight[0] = 17;
    bench.nodes[0].in_flight = SlotCount(17);
    bench.pass(Duration::from_millis(100));
    let full = bench.pass(Duration::from_secs(2));
    assert!(share(&full, 0) < 0.1, "{full:?}");
}

/// Equal seeds and events make equal choices.
#[test]
fn same_seed() {
    let run = || Bench::new(BalancingPolicy::Default).pass(Duration::from_secs(1));
    assert_eq!(run(), run());
}

/// The baselines know no stragglers: round robin gives each a quarter.
#[test]
fn round_robin() {
    let mut bench = Bench::new(BalancingPolicy::RoundRobin);
    bench.latency[2] = 50_000;
    let counts = bench.pass(Duration::from_secs(1));
    assert!((0..4).all(|index| (share(&counts, index) - 0.25).abs() < 0.01));
}
