//! Runs of random schedules, with the checks that hold for all of them.

use std::time::Duration;

use quetzalrack_mesh::model::Granting;

use super::FaultKind;
use super::Fleet;
use super::FleetPlan;

/// The number of schedules of each kind that run unless `QUETZALRACK_SCHEDULES` sets another.
const DEFAULT_SCHEDULES: u64 = 40;

pub fn plan(seed: u64, faults: FaultKind, granting: Granting) -> FleetPlan {
    FleetPlan {
        late_share: 0.02,
        seed,
        granting,
        nodes: 3 + (seed % 6) as usize,
        faults,
        fault_time: Duration::from_secs(40),
        // Twice the longest recovery, in which a leader and most voters are lost permanently. This is
        // noticed after two missed refreshes, and every authority without the store has to lapse.
        recovery_time: Duration::from_secs(60),
    }
}

/// Runs one schedule and checks that no key ever had two holders, and that every key has one at the end.
pub fn check(seed: u64, faults: FaultKind, granting: Granting) -> Fleet {
    let mut fleet = Fleet::new(plan(seed, faults, granting));
    fleet.run();
    assert_eq!(fleet.violation, None, "{faults:?}, seed {seed}");
    assert!(
        fleet.grants > 0,
        "{faults:?}, seed {seed}: nothing was ever granted"
    );
    let owned = fleet.final_owned;
    assert!(
        owned >= 65_536,
        "{faults:?}, seed {seed}: only {owned} keys have an owner at the end"
    );
    let (compared, different) = fleet.compare_tables();
    assert_eq!(different, None, "{faults:?}, seed {seed}");
    assert!(
        compared > 0,
        "{faults:?}, seed {seed}: no tables to compare"
    );
    fleet
}

/// Runs schedules, and returns the mean time without an owner, in seconds, averaged over all keys.
pub fn run_schedules(faults: FaultKind, granting: Granting) -> f64 {
    let count = std::env::var("QUETZALRACK_SCHEDULES");
    let count = count
        .ok()
        .and_then(|count| count.parse().ok())
        .unwrap_or(DEFAULT_SCHEDULES);
    let first = std::env::var("QUETZALRACK_SEED")
        .ok()
        .and_then(|seed| seed.parse().ok());
    let first: u64 = first.unwrap_or(0);
    let mut unowned = 0.0;
    for seed in first..first + count {
        unowned += check(seed, faults, granting).unowned as f64 / 10_000.0;
    }
    unowned / count as f64
}
