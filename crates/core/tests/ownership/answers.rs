//! Answers that come late, twice or out of order.

use quetzalrack_core::ownership::SafetyRules;

use crate::support::Cluster;
use crate::support::Faults;
use crate::support::Layout;

#[test]
fn late_grant() {
    // Grants and renewals come up to three lease times late, duplicated and overtaking each other.
    // Leases run from the sending of the heartbeat, so none is longer than the controller counts.
    for seed in 0..40 {
        let mut cluster = Cluster::started(seed, Layout::new(5, 1, 10));
        cluster.faults = Faults {
            lost: 10,
            duplicated: 40,
            late: 40,
            delay_us: 100_000,
            late_us: 3_600_000,
            answer_lost: 0,
        };
        cluster.run(20_000);
        cluster.faults = Faults::none();
        cluster.run(10_000);
        assert_eq!(cluster.unserved().count(), 0, "seed {seed}");
        cluster.checker.assert_clean();
    }
}

/// A holder reports its leases to a deputy that has no majority yet and falls silent, while the old
/// controller's answer to an earlier heartbeat is still on its way.
fn superseded_answer(rules: SafetyRules, seed: u64) -> Cluster {
    let mut cluster = Cluster::started_with(rules, seed, Layout::new(5, 1, 10));
    cluster.run(6_000 + seed * 23);
    let controllers = cluster.controllers();
    let (controller, deputy) = (controllers[0], controllers[1]);
    let (holder, voters) = (controllers[4], &controllers[2..4]);
    // The controller's answers reach the holder late, and the deputy not at all; the deputy reaches
    // the holder alone.
    cluster.slow.insert((controller, holder), 650_000);
    cluster.run(2_000);
    cluster.cut(&[deputy], &[controller], true);
    cluster.cut(&[deputy], voters, true);
    for _ in 0..1_000 {
        if cluster.followed_controller(holder) == deputy {
            break;
        }
        cluster.run(1);
    }
    cluster.run(2);
    let others: Vec<usize> = (0..5).filter(|node| *node != holder).collect();
    cluster.cuts.clear();
    cluster.cut(&[holder], &others, true);
    cluster.run(6_000);
    cluster
}

#[test]
fn superseded_renewal() {
    // The holder has told the deputy how long its leases last. A late answer of the old controller
    // would lengthen them, and the deputy would give the slices away too early; adopting a higher
    // ballot voids it.
    for seed in 0..40 {
        superseded_answer(SafetyRules::default(), seed)
            .checker
            .assert_clean();
    }
}
