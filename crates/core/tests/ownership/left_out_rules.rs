//! What the checker sees when one safety rule is left out.

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
/// How many schedules are aimed at one rule.
const SEEDS: u64 = 20;
/// How many schedules run for each rule unless `QUETZALRACK_RULE_SCHEDULES` says otherwise.
const SCHEDULES: u32 = 1_600;

/// Counts the schedules in which two nodes could have sent work of one slice.
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

/// A deputy hears its voters, but its first messages as controller reach only one of them, whose
/// leases the old controller lets lapse meanwhile.
fn late_majority(rules: SafetyRules, seed: u64) -> Cluster {
    let mut cluster = Cluster::started_under(rules, seed, Layout::new(5, 1, 20));
    cluster.run(6_000 + seed * 31);
    let line = cluster.line();
    let (old, deputy, holder) = (line[0], line[1], line[2]);
    cluster.faults.delay_us = 20_000;
    let voters: Vec<usize> = (0..5).filter(|node| !line[..3].contains(node)).collect();
    cluster.cut(&[old], &[deputy, holder], true);
    let echoed = (0..2_000).any(|_| {
        cluster.run(1);
        cluster.is_echo_underway(deputy)
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
    // The schedules that break each rule below leave a single owner while all rules are followed.
    assert_eq!(count_double_owners("all rules", SafetyRules::default()), 0);
}

#[test]
fn late_round() {
    // Without rule 1 a controller gives a silent holder's slices away although a higher one has
    // taken the holder over.
    let rules = SafetyRules {
        confirm_lapse: false,
        ..SafetyRules::default()
    };
    assert!(count_double_owners("rule 1, late round", rules) > 0);
}

#[test]
fn early_majority() {
    // A deputy takes over with one holder's report, but gets its majority only after the old
    // controller, whose voters it did not reach yet, has given that holder's slices away. Without
    // rule 2 it takes them for the reporting holder's, and gives them to others as soon as that one
    // says that its leases ended, while the old controller's grants are still in force.
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
    println!("rule 2, early majority: {broken} of {SEEDS} schedules with two owners");
    assert!(broken > 0);
}

#[test]
fn fresh_majority() {
    // Without rule 3 a controller counts voters that have left it long ago.
    let rules = SafetyRules {
        fresh_majority: false,
        ..SafetyRules::default()
    };
    assert!(count_double_owners("rule 3, fresh majority", rules) > 0);
}

#[test]
fn sent_clock() {
    // Without rule 4 a late answer lengthens a lease beyond what the controller counts.
    let rules = SafetyRules {
        send_time: false,
        ..SafetyRules::default()
    };
    assert!(count_double_owners("rule 4, sent clock", rules) > 0);
}

#[test]
fn full_wait() {
    // With one lease time instead of two, a new controller gives away what the old one granted at
    // the end of its authority.
    let rules = SafetyRules {
        double_wait: false,
        ..SafetyRules::default()
    };
    assert!(count_double_owners("rule 5, full wait", rules) > 0);
}

#[test]
fn named_release() {
    // Without rule 6 a repeated release frees a newer grant of the same slice.
    let rules = SafetyRules {
        fenced_release: false,
        ..SafetyRules::default()
    };
    assert!(count_double_owners("rule 6, named release", rules) > 0);
}

#[test]
fn named_lives() {
    // Without rule 7 a restarted controller acts under its old ballot and forgets its grants.
    let rules = SafetyRules {
        exact_incarnation: false,
        ..SafetyRules::default()
    };
    assert!(count_double_owners("rule 7, named lives", rules) > 0);
}
