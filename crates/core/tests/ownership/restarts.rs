//! Nodes that restart.

use quetzalrack_core::ownership::SafetyRules;

use crate::support::Cluster;
use crate::support::Layout;

/// Lets a deputy take over behind a cut; two voters that adopted it then restart on the old
/// controller's side of the cut.
fn restarted_voters(rules: SafetyRules, seed: u64) -> Cluster {
    let mut cluster = Cluster::started_with(rules, seed, Layout::new(5, 1, 10));
    cluster.run(6_000 + seed * 31);
    let controllers = cluster.controllers();
    let (controller, deputy) = (controllers[0], controllers[1]);
    let rest: Vec<usize> = (0..5)
        .filter(|node| !controllers[..2].contains(node))
        .collect();
    let (holder, voters) = (rest[0], [rest[1], rest[2]]);
    cluster.cut(&[controller], &[deputy, holder], true);
    cluster.run(560);
    cluster.cut(&voters, &[deputy, holder], true);
    for voter in voters {
        cluster.kill(voter);
        cluster.start(voter);
    }
    cluster.run(6_000);
    cluster.cuts.clear();
    cluster.run(8_000);
    cluster
}

#[test]
fn lost_ballot() {
    // Voters adopt a deputy and restart. If they acknowledged the old controller at once, it would
    // keep its majority and grant to others slices whose leases the deputy has extended. They
    // abstain for two lease times instead, and the old controller stands down.
    for seed in 0..20 {
        let cluster = restarted_voters(SafetyRules::default(), seed);
        assert_eq!(cluster.unserved().count(), 0, "seed {seed}");
        cluster.checker.assert_clean();
    }
    let rules = SafetyRules {
        abstention: false,
        ..SafetyRules::default()
    };
    let broken = (0..20).filter(|seed| {
        let cluster = restarted_voters(rules, *seed);
        !cluster.checker.double_owners.is_empty()
    });
    let broken = broken.count();
    println!("abstention left out: {broken} of 20 schedules with two owners");
    assert!(broken > 0);
}

#[test]
fn all_hosts() {
    // Every host restarts at once, with the log up. No node knows the old leases, so the slices are
    // granted again after two lease times.
    for seed in 0..10 {
        let mut cluster = Cluster::started(seed, Layout::new(4, 4, 8));
        cluster.run(8_000);
        for node in 0..16 {
            cluster.kill(node);
            cluster.start(node);
        }
        let spent = cluster.run_until_served(10_000);
        println!("seed {seed}: served again after {spent} ms");
        cluster.run(5_000);
        cluster.checker.assert_clean();
    }
}

#[test]
fn restarted_controller() {
    // The controller restarts at once under its old name and address. Its new incarnation has no
    // rank in the term that lists the old one, so a deputy takes over.
    for seed in 0..10 {
        let mut cluster = Cluster::started(seed, Layout::new(5, 1, 10));
        cluster.run(6_000);
        let controller = cluster.controller().unwrap();
        cluster.kill(controller);
        cluster.start(controller);
        cluster.run(1_500);
        assert_ne!(cluster.controller(), Some(controller), "seed {seed}");
        cluster.run_until_served(5_000);
        cluster.run(5_000);
        cluster.checker.assert_clean();
    }
}
