//! What a test does to the fakes.

use quetzalrack_core::cluster::ServerState;
use quetzalrack_core::ids::SliceId;
use quetzalrack_core::ids::SlotCount;
use quetzalrack_core::ownership::Ownership;
use quetzalrack_core::ownership::OwnershipConfig;
use quetzalrack_core::ownership::OwnershipEvent;
use quetzalrack_core::traffic::SliceLoad;
use quetzalrack_core::traffic::TrafficStats;
use rand::Rng;

use super::Cluster;
use super::Delivery;
use super::FakeNode;
use super::Faults;
use super::cluster::MILLISECOND;

const TICK: u64 = 40 * MILLISECOND;

impl Cluster {
    /// Starts a new life of a node.
    pub fn start(&mut self, at: usize) {
        let node = &mut self.nodes[at];
        node.incarnation += 1;
        node.finished = false;
        node.paused_until = 0;
        node.held.clear();
        node.next_offset = 0;
        node.leases = Default::default();
        node.routing = Default::default();
        let seed = (at as u64) << 32 | node.incarnation;
        let mut config = OwnershipConfig::new(node.member(&self.layout), seed);
        config.rules = self.rules;
        config.peers = (0..self.layout.nodes()).map(FakeNode::address).collect();
        node.machine = Some(Ownership::open(config));
        self.step(at, OwnershipEvent::IntentChanged(self.layout.in_force()));
        let phase = self.rng.random_range(0..TICK);
        self.plan(phase, at, Delivery::Tick);
        self.plan(phase / 2, at, Delivery::Poll);
        self.plan(phase / 3, at, Delivery::Announce);
    }

    /// Ends a node's life without a word.
    pub fn kill(&mut self, at: usize) {
        self.nodes[at].machine = None;
        self.nodes[at].leases = Default::default();
    }

    /// Stops a node, its traffic threads with it, for a while.
    pub fn pause(&mut self, at: usize, span_ms: u64) {
        let until = self.now + span_ms * MILLISECOND;
        self.nodes[at].paused_until = self.nodes[at].paused_until.max(until);
        self.plan(span_ms * MILLISECOND, at, Delivery::Thaw);
    }

    /// Cuts or heals every message between two groups.
    pub fn cut(&mut self, from: &[usize], to: &[usize], both_ways: bool) {
        for a in from {
            for b in to {
                self.cuts.insert((*a, *b));
                if both_ways {
                    self.cuts.insert((*b, *a));
                }
            }
        }
    }

    /// Puts a changed layout in force at every node.
    pub fn put_in_force(&mut self) {
        self.layout.version += 1;
        let intent = self.layout.in_force();
        for at in 0..self.nodes.len() {
            self.step(at, OwnershipEvent::IntentChanged(intent.clone()));
        }
    }

    /// Silences the backend server beside a node, or lets it come back.
    pub fn lose_server(&mut self, at: usize) {
        self.nodes[at].has_server = !self.nodes[at].has_server;
        if !self.nodes[at].has_server {
            self.step(at, OwnershipEvent::ServerLost);
        }
    }

    /// Lets every node's traffic threads report about `rate` requests per second a slice, unevenly.
    pub fn measure_traffic(&mut self, rate: f32) {
        self.measure_uneven(|_| rate);
    }

    /// Lets every node's traffic threads report requests per second by slice, give or take a fifth.
    pub fn measure_uneven(&mut self, rate: impl Fn(&SliceId) -> f32) {
        for at in 0..self.nodes.len() {
            let slices: Vec<SliceId> = self.nodes[at].leases.leases.keys().cloned().collect();
            let mut load = |slice: SliceId| SliceLoad {
                rate: rate(&slice) * self.rng.random_range(0.8..1.2),
                slice,
            };
            let slices = slices.into_iter().map(&mut load).collect();
            let measure = TrafficStats {
                limit: SlotCount(18),
                in_flight: SlotCount(self.rng.random_range(4..12)),
                latency_us: self.rng.random_range(8_000..12_000),
                state: ServerState::Warm,
                slices,
                keys: Vec::new(),
            };
            self.step(at, OwnershipEvent::TrafficMeasured(measure));
        }
    }

    /// Ends every fault and starts what is down.
    pub fn mend(&mut self) {
        self.faults = Faults::none();
        self.cuts.clear();
        self.log.down = false;
        self.layout.zones_out.clear();
        for at in 0..self.nodes.len() {
            self.nodes[at].has_server = true;
            if self.nodes[at].machine.is_none() || self.nodes[at].finished {
                self.start(at);
            }
        }
        self.put_in_force();
    }

    pub fn shut_down(&mut self, at: usize) {
        self.step(at, OwnershipEvent::ShutdownRequested);
    }
}
