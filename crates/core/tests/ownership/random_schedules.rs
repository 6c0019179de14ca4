//! Random schedules of faults.

use std::thread;

use proptest::strategy::Strategy;
use proptest::strategy::ValueTree;
use proptest::test_runner::Config;
use proptest::test_runner::FileFailurePersistence;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::TestCaseError;
use proptest::test_runner::TestRng;
use proptest::test_runner::TestRunner;
use quetzalrack_core::ownership::SafetyRules;

use crate::support::Schedule;

/// Number of schedules, unless `QUETZALRACK_SCHEDULES` sets another.
const SCHEDULES: u32 = 10_000;
/// Number of schedules that go on without faults until every slice is served again.
const RECOVERY_SCHEDULES: u32 = 400;
const WORKERS: u32 = 8;
const REGRESSIONS: &str = "tests/ownership/random_schedules.regressions";

#[test]
fn single_owner() {
    // Two servers would answer requests for one key if any sequence of lost, duplicated and late
    // messages, pauses, restarts, cuts and log outages gave two nodes a valid lease of one slice.
    // The checker compares what each node's traffic threads would send by their own clock.
    let wanted = std::env::var("QUETZALRACK_SCHEDULES").ok();
    let schedules = wanted
        .and_then(|text| text.parse().ok())
        .unwrap_or(SCHEDULES);
    thread::scope(|scope| {
        for worker in 0..WORKERS {
            scope.spawn(move || run_worker(worker, schedules / WORKERS));
        }
    });
}

#[test]
fn served_again() {
    // After any sequence of faults ends, every slice has an owner again and the nodes follow one
    // controller.
    thread::scope(|scope| {
        for worker in 0..WORKERS {
            scope.spawn(move || run_recovery_worker(worker));
        }
    });
}

fn run_recovery_worker(worker: u32) {
    let mut seed = [2; 32];
    seed[..4].copy_from_slice(&worker.to_le_bytes());
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &seed);
    let mut runner = TestRunner::new_with_rng(Config::default(), rng);
    for _ in 0..RECOVERY_SCHEDULES / WORKERS {
        let schedule = Schedule::strategy().new_tree(&mut runner);
        let schedule = schedule.unwrap().current();
        let mut cluster = schedule.run(SafetyRules::default());
        cluster.repair();
        cluster.run(25_000);
        let unserved: Vec<_> = cluster.unserved().collect();
        assert!(unserved.is_empty(), "{unserved:?} after {schedule:?}");
        cluster.checker.assert_clean();
    }
}

fn run_worker(worker: u32, cases: u32) {
    let config = Config {
        cases,
        failure_persistence: Some(Box::new(FileFailurePersistence::Direct(REGRESSIONS))),
        source_file: Some(file!()),
        max_shrink_iters: 500,
        ..Config::default()
    };
    let mut seed = [0; 32];
    seed[..4].copy_from_slice(&worker.to_le_bytes());
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &seed);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let outcome = runner.run(&Schedule::strategy(), |schedule| {
        let cluster = schedule.run(SafetyRules::default());
        if !cluster.checker.double_owners.is_empty() {
            return Err(TestCaseError::fail(
                cluster.checker.double_owners.join("; "),
            ));
        }
        Ok(())
    });
    if let Err(error) = outcome {
        panic!("worker {worker}: {error}");
    }
}
