//! Nodes that are paused and resumed.

use crate::support::Cluster;
use crate::support::Layout;

#[test]
fn paused_controller() {
    // The controller is paused for longer than its lease while it grants a failed node's slices, and
    // resumes after a deputy has granted them to others. What it then sends answers heartbeats that
    // are too old to give a lease, and it stands down when it first reads the clock.
    for seed in 0..20 {
        let mut cluster = Cluster::started(seed, Layout::new(5, 1, 10));
        cluster.run(6_000);
        let controller = cluster.controller().unwrap();
        let holder = (0..5)
            .find(|node| !cluster.controllers()[..2].contains(node))
            .unwrap();
        cluster.kill(holder);
        cluster.run(1_150 + seed * 10);
        cluster.pause(controller, 2_000 + seed * 100);
        cluster.run(9_000);
        assert_eq!(cluster.unserved().count(), 0, "seed {seed}");
        cluster.checker.assert_clean();
    }
}

#[test]
fn paused_holder() {
    // A holder is paused between checking its lease and sending. When it resumes, its slices have
    // other owners. The clock counts the paused time, so its leases are lapsed at once.
    for seed in 0..20 {
        let mut cluster = Cluster::started(seed, Layout::new(5, 1, 10));
        cluster.run(6_000);
        let holder = (0..5)
            .find(|node| !cluster.controllers()[..2].contains(node))
            .unwrap();
        let owned = cluster.owners();
        cluster.pause(holder, 1_800 + seed * 60);
        cluster.run(1_795);
        let moved = cluster.owners();
        for (slice, owner) in owned {
            if owner == Some(holder) {
                assert!(moved[&slice].is_some(), "{slice} is unserved");
                assert_ne!(moved[&slice], Some(holder));
            }
        }
        cluster.run(8_000);
        assert_eq!(cluster.unserved().count(), 0, "seed {seed}");
        cluster.checker.assert_clean();
    }
}

#[test]
fn short_pause() {
    // A pause well below the lease time leaves every slice served by its owner, on any node.
    for seed in 0..10 {
        let mut cluster = Cluster::started(seed, Layout::new(5, 1, 10));
        cluster.run(6_000);
        let before = cluster.owners();
        cluster.pause(seed as usize % 5, 300);
        cluster.run(300);
        let gaps = cluster.longest_gaps(4_000);
        assert_eq!(gaps.values().max(), Some(&0), "seed {seed}");
        assert_eq!(cluster.owners(), before);
    }
}
