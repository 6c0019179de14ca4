//! A simulated cluster.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;

use quetzalrack_core::explain::Happening;
use quetzalrack_core::ids::SliceId;
use quetzalrack_core::ownership::SafetyRules;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::Checker;
use super::Delivery;
use super::FakeLog;
use super::FakeNode;
use super::Faults;
use super::Layout;

pub const NANOS_PER_MS: u64 = 1_000_000;

/// Runs nodes with fake networks, logs and servers in virtual time; equal seeds give equal runs.
pub struct Cluster {
    pub now: u64,
    pub layout: Layout,
    pub faults: Faults,
    pub rules: SafetyRules,
    pub log: FakeLog,
    pub nodes: Vec<FakeNode>,
    pub checker: Checker,
    /// Pairs of sender and receiver whose messages are lost.
    pub cuts: BTreeSet<(usize, usize)>,
    /// Pairs of sender and receiver whose messages take longer, in microseconds.
    pub slow: BTreeMap<(usize, usize), u64>,
    /// Nodes that do not reach the log service.
    pub log_cuts: BTreeSet<usize>,
    pub history: Vec<(u64, usize, Happening)>,
    pub measures_bytes: bool,
    pub(super) slices: Vec<SliceId>,
    pub(super) rng: ChaCha8Rng,
    pub(super) queue: BTreeMap<Reverse<(u64, u64)>, (usize, u64, Delivery)>,
    pub(super) sequence: u64,
}

impl Cluster {
    pub fn new(seed: u64, layout: Layout) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let node = |number| {
            let offset = rng.random_range(1_000_000_000..1_000_000_000_000);
            FakeNode::new(number, offset, rng.random_range(-100..100))
        };
        let nodes = (0..layout.nodes()).map(node).collect();
        Self {
            now: 0,
            slices: layout.all_slices(),
            layout,
            faults: Faults::none(),
            rules: SafetyRules::default(),
            log: FakeLog::default(),
            nodes,
            checker: Checker::default(),
            cuts: BTreeSet::new(),
            slow: BTreeMap::new(),
            log_cuts: BTreeSet::new(),
            history: Vec::new(),
            measures_bytes: false,
            rng,
            queue: BTreeMap::new(),
            sequence: 0,
        }
    }

    /// Starts every node under the given rules and runs until all slices are owned.
    pub fn started_with(rules: SafetyRules, seed: u64, layout: Layout) -> Self {
        let mut cluster = Self::new(seed, layout);
        cluster.rules = rules;
        for node in 0..cluster.nodes.len() {
            cluster.start(node);
        }
        cluster.run_until_served(10_000);
        cluster
    }

    /// Starts every node within a few milliseconds and runs until all slices are owned.
    pub fn started(seed: u64, layout: Layout) -> Self {
        Self::started_with(SafetyRules::default(), seed, layout)
    }

    /// Runs for a span of virtual time.
    pub fn run(&mut self, span_ms: u64) {
        let end = self.now + span_ms * NANOS_PER_MS;
        while let Some(entry) = self.queue.last_entry() {
            let Reverse((due, _)) = *entry.key();
            if due > end {
                break;
            }
            let (at, incarnation, delivery) = entry.remove();
            self.now = due;
            self.deliver(at, incarnation, delivery);
        }
        self.now = end;
    }
}
