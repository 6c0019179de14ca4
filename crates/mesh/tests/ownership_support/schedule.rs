//! One schedule, or many of a kind, with the checks that hold for all of them.

use std::time::Duration;

use quetzalrack_mesh::model::Granting;

use super::Fleet;
use super::FleetPlan;
use super::Trouble;

/// How many schedules of each kind run; `QUETZALRACK_SCHEDULES` asks for more.
const USUAL: u64 = 40;

pub fn plan(seed: u64, trouble: Trouble, granting: Granting) -> FleetPlan {
    FleetPlan {
        late: 0.02,
        seed,
        granting,
        nodes: 3 + (seed % 6) as usize,
        trouble,
        troubled: Duration::from_secs(40),
        // The longest way back: a leader and most voters gone for good, noticed after two missed
        // refreshes, and every authority without the store waited for; twice that.
        calm: Duration::from_secs(60),
    }
}

/// Plays one schedule and checks that no key ever had two holders, and that all have one at the end.
pub fn check(seed: u64, trouble: Trouble, granting: Granting) -> Fleet {
    let mut fleet = Fleet::new(plan(seed, trouble, granting));
    fleet.play();
    assert_eq!(fleet.problem, None, "{trouble:?}, seed {seed}");
    assert!(
        fleet.grants > 0,
        "{trouble:?}, seed {seed}: nothing was ever granted"
    );
    let owned = fleet.lately;
    assert!(
        owned >= 65_536,
        "{trouble:?}, seed {seed}: only {owned} keys have an owner at the end"
    );
    let (compared, different) = fleet.compare_tables();
    assert_eq!(different, None, "{trouble:?}, seed {seed}");
    assert!(
        compared > 0,
        "{trouble:?}, seed {seed}: no tables to compare"
    );
    fleet
}

/// Plays schedules, and returns the mean time without an owner, in seconds of all keys.
pub fn play(trouble: Trouble, granting: Granting) -> f64 {
    let count = std::env::var("QUETZALRACK_SCHEDULES");
    let count = count
        .ok()
        .and_then(|count| count.parse().ok())
        .unwrap_or(USUAL);
    let first = std::env::var("QUETZALRACK_SEED")
        .ok()
        .and_then(|seed| seed.parse().ok());
    let first: u64 = first.unwrap_or(0);
    let mut unowned = 0.0;
    for seed in first..first + count {
        unowned += check(seed, trouble, granting).unowned as f64 / 10_000.0;
    }
    unowned / count as f64
}
