//! No key ever has two holders, whatever happens: random schedules of a whole fleet whose servers are
//! granted keys by heartbeat.
#![allow(clippy::unwrap_used, clippy::panic)]

use std::time::Duration;

mod ownership_support;

use ownership_support::FaultKind;
use ownership_support::Fleet;
use ownership_support::FleetPlan;
use ownership_support::check;
use ownership_support::plan;
use ownership_support::run_schedules;
use quetzalrack_mesh::model::Granting;

fn run_by_heartbeat(faults: FaultKind) -> f64 {
    run_schedules(faults, Granting::ByHeartbeat)
}

/// Nothing happens: keys have owners within the first seconds, and keep them.
#[test]
fn calm() {
    let unowned = run_by_heartbeat(FaultKind::NoFaults);
    assert!(unowned < 6.0, "{unowned} s without an owner");
}

/// A caller's key is served by two servers after its node's process was killed and started again:
/// the new process reported that it knew of nothing held, which the leader took for a release.
#[test]
fn kills() {
    run_by_heartbeat(FaultKind::Kills);
}

/// Processes are told to leave in turn, the leader's among them, which hands its leadership on.
#[test]
fn leaves() {
    run_by_heartbeat(FaultKind::Shutdowns);
}

/// Hosts lose power, now and then all at once, some for good; nobody is left who remembers.
#[test]
fn power() {
    run_by_heartbeat(FaultKind::PowerLosses);
}

/// Nodes hear only some of the others, or not the store, each in its own way.
#[test]
fn cuts() {
    run_by_heartbeat(FaultKind::Partitions);
}

/// The store is away, or does what it was asked and does not say so, or does it seconds later.
#[test]
fn store() {
    run_by_heartbeat(FaultKind::StoreFaults);
}

/// Nodes stand still with answers in their hands and go on as if no time had passed.
#[test]
fn freezes() {
    run_by_heartbeat(FaultKind::Freezes);
}

/// All of it at once.
#[test]
fn everything() {
    run_by_heartbeat(FaultKind::All);
}

/// The store is away and the leader is told to leave: keys have no owner until the store is back,
/// since nobody can be named as the next leader; unless the leader hands its leadership on.
#[test]
fn leaves_without_store() {
    let mut fleet = Fleet::new(plan(1, FaultKind::NoFaults, Granting::ByHeartbeat));
    fleet.lose_store(Duration::from_secs(10), Duration::from_secs(14));
    fleet.shut_down_leader(Duration::from_secs(14));
    fleet.run();
    assert_eq!(fleet.violation, None);
    let unowned = fleet.unowned as f64 / 10_000.0;
    assert!(unowned < 7.0, "{unowned} s without an owner");
}

/// A host loses power, and its next process and server are given keys. Then a heartbeat of the earlier
/// process comes in, seconds late_share: it names the earlier server and nothing held. The leader took that
/// for the newest word, gave the keys to another, and two servers held them.
#[test]
fn late_words_of_the_dead() {
    for seed in [2_705, 3_741, 4_421, 4_555] {
        let mut fleet = Fleet::new(FleetPlan {
            late_share: 0.15,
            ..plan(seed, FaultKind::PowerLosses, Granting::ByHeartbeat)
        });
        fleet.run();
        assert_eq!(fleet.violation, None, "seed {seed}");
    }
}

/// The first leader of an environment is lost for good, and nobody starts again under its name. Its
/// followers had kept the record with which it began, and that named no voters, so they asked nobody
/// whether the leader is heard; all keys were without an owner until two of its refreshes were missed.
#[test]
fn first_leader_lost() {
    for seed in 0..10 {
        let mut fleet = Fleet::new(FleetPlan {
            nodes: 8,
            ..plan(seed, FaultKind::NoFaults, Granting::ByHeartbeat)
        });
        fleet.lose_leader(Duration::from_secs(12));
        fleet.run();
        assert_eq!(fleet.violation, None, "seed {seed}");
        // Three seconds and a half at the start, and the lease of the lost server's keys.
        let unowned = fleet.unowned as f64 / 10_000.0;
        assert!(unowned < 8.0, "seed {seed}: {unowned} s without an owner");
    }
}

/// Schedules that once showed two holders, a falling token, or keys that nobody got: a restarted
/// node's silence taken for a release (kills), a silent server's old lease (calm), reports passed
/// over in a takeover (cuts, freezes), lost writes of the leader's record (cuts, store), an order for
/// an earlier process (everything), a first heartbeat that came late (leaves, power), a thawed
/// node that granted what its earlier leader had given (freezes), a word of an earlier process that came
/// late (power), and a holder that the leader after a handover left out of the voters (leaves).
#[test]
fn failed_before() {
    let seeds = [
        (FaultKind::NoFaults, vec![1_500, 2_776]),
        (FaultKind::Kills, vec![2, 751, 1_472, 1_834, 2_943]),
        (FaultKind::Shutdowns, vec![533, 1_881]),
        (FaultKind::PowerLosses, vec![275, 670, 1_960, 2_812]),
        (FaultKind::Partitions, vec![25, 111, 958]),
        (FaultKind::StoreFaults, vec![367]),
        (FaultKind::Freezes, vec![173, 413, 491, 813]),
        (
            FaultKind::All,
            vec![2, 934, 1_240, 1_534, 4_036, 4_175, 4_972],
        ),
    ];
    for (faults, seeds) in seeds {
        for seed in seeds {
            check(seed, faults, Granting::ByHeartbeat);
        }
    }
}
