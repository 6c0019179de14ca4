//! Answers that arrive late, duplicated or out of order.

use quetzalrack_core::ownership::SafetyRules;

use crate::support::Cluster;
use crate::support::Faults;
use crate::support::Layout;

#[test]
fn late_grant() {
    // Grants and renewals arrive up to three lease times late, duplicated and out of order. A lease
    // starts when the heartbeat is sent, so none lasts longer than the controller assumes.
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

/// Cuts a holder off after it reported its leases to a deputy without a majority, while the old
/// controller's answer to an earlier heartbeat is still in flight.
fn superseded_answer(rules: SafetyRules, seed: u64) -> Cluster {
    let mut cluster = Cluster::started_with(rules, seed, Layout::new(5, 1, 10));
    cluster.run(6_000 + seed * 23);
    let controllers = cluster.controllers();
    let (controller, deputy) = (controllers[0], controllers[1]);
    let (holder, voters) = (controllers[4], &controllers[2..4]);
    // The controller's messages reach the holder late and the deputy not at all; the deputy reaches
    // only the holder.
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
    // The holder has reported to the deputy how long its leases last. If a late answer of the old
    // controller extended them, the deputy would grant the slices to others too early. A node that
    // adopts a higher ballot ignores such an answer.
    for seed in 0..40 {
        superseded_answer(SafetyRules::default(), seed)
            .checker
            .assert_clean();
    }
}
