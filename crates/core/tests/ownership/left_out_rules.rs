//! Each safety rule left out in turn: the checker must find two owners of a slice.

use std::thread;

use proptest::strategy::Strategy;
use proptest::strategy::ValueTree;
use proptest::test_runner::Config;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::TestRng;
use proptest::test_runner::TestRunner;
use quetzalrack_core::ownership::SafetyRules;

use crate::support::Cluster;
use crate::support::Layout;
use crate::support::Schedule;

const WORKERS: u32 = 4;
/// Number of schedules made to break one particular rule.
const SEEDS: u64 = 20;
/// Number of schedules for each rule, unless `QUETZALRACK_RULE_SCHEDULES` sets another.
const SCHEDULES: u32 = 1_600;

/// Counts the schedules in which two nodes could have sent requests of one slice at a time.
fn count_double_owners(title: &str, rules: SafetyRules) -> usize {
    let wanted = std::env::var("QUETZALRACK_RULE_SCHEDULES").ok();
    let schedules = wanted
        .and_then(|text| text.parse().ok())
        .unwrap_or(SCHEDULES);
    let count = |worker: u32| {
        let mut seed = [1; 32];
        seed[..4].copy_from_slice(&worker.to_le_bytes());
        let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &seed);
        let mut runner = TestRunner::new_with_rng(Config::default(), rng);
        let broken = |_: &u32| {
            let schedule = Schedule::strategy().new_tree(&mut runner);
            let cluster = schedule.unwrap().current().run(rules);
            !cluster.checker.double_owners.is_empty()
        };
        (0..schedules / WORKERS).filter(broken).count()
    };
    let found: usize = thread::scope(|scope| {
        let spawn = |worker| scope.spawn(move || count(worker));
        let workers: Vec<_> = (0..WORKERS).map(spawn).collect();
        workers
            .into_iter()
            .map(|worker| worker.join().unwrap())
            .sum()
    });
    println!("{title}: {found} of {schedules} schedules with two owners");
    found
}

/// Lets a deputy receive its voters' answers, while its first messages as controller reach only one
/// holder, whose leases the old controller treats as lapsed meanwhile.
fn late_majority(rules: SafetyRules, seed: u64) -> Cluster {
    let mut cluster = Cluster::started_with(rules, seed, Layout::new(5, 1, 20));
    cluster.run(6_000 + seed * 31);
    let controllers = cluster.controllers();
    let (old, deputy, holder) = (controllers[0], controllers[1], controllers[2]);
    cluster.faults.delay_us = 20_000;
    let voters: Vec<usize> = (0..5)
        .filter(|node| !controllers[..3].contains(node))
        .collect();
    cluster.cut(&[old], &[deputy, holder], true);
    let echoed = (0..2_000).any(|_| {
        cluster.run(1);
        cluster.is_echo_in_flight(deputy)
    });
    assert!(echoed, "the deputy did not probe");
    cluster.cut(&[deputy], &voters, false);
    cluster.run(2_000);
    cluster.cuts.clear();
    cluster.cut(&[old], &[deputy, holder], true);
    cluster.run(4_000);
    cluster.cuts.clear();
    cluster.run(8_000);
    cluster
}

#[test]
fn all_rules() {
    // While all rules hold, the schedules of the tests below never lead to two owners of a slice.
    assert_eq!(count_double_owners("all rules", SafetyRules::default()), 0);
}

#[test]
fn confirm_lapse() {
    // Without rule 1 a controller grants a silent holder's slices to others although the holder
    // already follows a controller with a higher ballot.
    let rules = SafetyRules {
        confirm_lapse: false,
        ..SafetyRules::default()
    };
    assert!(count_double_owners("rule 1, confirm lapse", rules) > 0);
}

#[test]
fn timely_majority() {
    // A deputy takes over with one holder's report, but gets its majority only after the old
    // controller, whose voters it had not reached yet, has granted that holder's slices to others.
    // Without rule 2 it assumes that the reporting holder still has them, and grants them again as
    // soon as that holder reports its leases as ended, while the old controller's grants are valid.
    for seed in 0..SEEDS {
        let cluster = late_majority(SafetyRules::default(), seed);
        assert_eq!(cluster.unserved().count(), 0, "seed {seed}");
        cluster.checker.assert_clean();
    }
    let rules = SafetyRules {
        timely_majority: false,
        ..SafetyRules::default()
    };
    let broken = (0..SEEDS).filter(|seed| {
        let cluster = late_majority(rules, *seed);
        !cluster.checker.double_owners.is_empty()
    });
    let broken = broken.count();
    println!("rule 2, timely majority: {broken} of {SEEDS} schedules with two owners");
    assert!(broken > 0);
}

#[test]
fn fresh_majority() {
    // Without rule 3 a controller counts voters that stopped following it long ago.
    let rules = SafetyRules {
        fresh_majority: false,
        ..SafetyRules::default()
    };
    assert!(count_double_owners("rule 3, fresh majority", rules) > 0);
}

#[test]
fn send_time() {
    // Without rule 4 a late answer extends a lease beyond the time that the controller assumes.
    let rules = SafetyRules {
        send_time: false,
        ..SafetyRules::default()
    };
    assert!(count_double_owners("rule 4, send time", rules) > 0);
}

#[test]
fn double_wait() {
    // With one lease time instead of two, a new controller grants again what the old one granted
    // just before it had to stand down.
    let rules = SafetyRules {
        double_wait: false,
        ..SafetyRules::default()
    };
    assert!(count_double_owners("rule 5, double wait", rules) > 0);
}

#[test]
fn fenced_release() {
    // Without rule 6 a duplicated release ends a newer grant of the same slice.
    let rules = SafetyRules {
        fenced_release: false,
        ..SafetyRules::default()
    };
    assert!(count_double_owners("rule 6, fenced release", rules) > 0);
}

#[test]
fn exact_incarnation() {
    // Without rule 7 a restarted controller acts under its old ballot without knowing its grants.
    let rules = SafetyRules {
        exact_incarnation: false,
        ..SafetyRules::default()
    };
    assert!(count_double_owners("rule 7, exact incarnation", rules) > 0);
}
