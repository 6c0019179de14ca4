//! Slice moves that balance the load.

use std::collections::BTreeMap;

use quetzalrack_core::explain::Happening;
use quetzalrack_core::ids::SliceId;

use crate::support::Cluster;
use crate::support::Layout;

fn moves(cluster: &Cluster) -> usize {
    let ordered = |(_, _, happening): &&(u64, usize, Happening)| {
        matches!(happening, Happening::MoveOrdered { .. })
    };
    cluster.history.iter().filter(ordered).count()
}

/// Runs under a load for a minute and returns the busiest node's load divided by the mean.
fn run_loaded(cluster: &mut Cluster, rate: impl Fn(&SliceId) -> f32) -> f32 {
    for _ in 0..300 {
        cluster.measure_uneven(&rate);
        cluster.run(200);
    }
    let mut loads: BTreeMap<usize, f32> = BTreeMap::new();
    for (slice, owner) in cluster.owners() {
        *loads.entry(owner.unwrap()).or_default() += rate(&slice);
    }
    let sum: f32 = loads.values().sum();
    let busiest = loads.values().copied().fold(0.0, f32::max);
    busiest * 4.0 / sum
}

#[test]
fn even_load() {
    // Each slice's request rate stays within a fifth of the same mean. No slice moves.
    for seed in 0..5 {
        let mut cluster = Cluster::started(seed, Layout::new(4, 1, 16));
        cluster.run(8_000);
        let before = moves(&cluster);
        run_loaded(&mut cluster, |_| 100.0);
        assert_eq!(moves(&cluster), before, "seed {seed}");
    }
}

#[test]
fn uneven_slices() {
    // All slices of one node get four times the requests of the others. A few of them move to other
    // nodes, and then no slice moves any more.
    for seed in 0..5 {
        let mut cluster = Cluster::started(seed, Layout::new(4, 1, 16));
        cluster.run(8_000);
        let owners = cluster.owners();
        let rate = |slice: &SliceId| match owners[slice] {
            Some(0) => 400.0,
            _ => 100.0,
        };
        let before = moves(&cluster);
        let first = run_loaded(&mut cluster, rate);
        let settled = moves(&cluster);
        let second = run_loaded(&mut cluster, rate);
        let moved = settled - before;
        println!("seed {seed}: busiest over mean 2.29 before, {first:.2} after {moved} moves");
        assert!(second < 1.5, "seed {seed}: {second}");
        assert!(moved <= 8, "seed {seed}: {moved} moves");
        assert_eq!(moves(&cluster), settled, "seed {seed}");
        cluster.checker.assert_clean();
    }
}
