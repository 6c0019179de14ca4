//! No key ever has two holders if servers are granted keys by call. Calls are lost, or executed up to six
//! seconds late: after later grants, after releases, and by the server that listens at that time.
#![allow(clippy::unwrap_used, clippy::panic)]

mod ownership_support;

use std::time::Duration;

use ownership_support::FaultKind;
use ownership_support::Fleet;
use ownership_support::check;
use ownership_support::plan;
use ownership_support::run_schedules;
use quetzalrack_mesh::model::Granting;

fn run_by_call(faults: FaultKind) -> f64 {
    run_schedules(faults, Granting::ByCall)
}

/// A few calls fail, without other faults: keys have owners within the first seconds, and keep them.
#[test]
fn calm() {
    let unowned = run_by_call(FaultKind::NoFaults);
    assert!(unowned < 6.0, "{unowned} s without an owner");
}

/// Node processes are killed between a call and its answer. The next process does not know of the call, and
/// the server may execute the grant late.
#[test]
fn kills() {
    run_by_call(FaultKind::Kills);
}

/// Node processes are shut down in turn while their servers' keys are renewed.
#[test]
fn leaves() {
    run_by_call(FaultKind::Shutdowns);
}

/// Hosts lose power, and a late call reaches the next incarnation of the server.
#[test]
fn power() {
    run_by_call(FaultKind::PowerLosses);
}

/// Nodes reach only some of their peers, or not the store, while calls go on until the leases end.
#[test]
fn cuts() {
    run_by_call(FaultKind::Partitions);
}

/// The store is unreachable, or executes calls without a response.
#[test]
fn store() {
    run_by_call(FaultKind::StoreFaults);
}

/// Node processes are suspended between deciding on a call and sending it.
#[test]
fn freezes() {
    run_by_call(FaultKind::Freezes);
}

/// All kinds of faults together.
#[test]
fn everything() {
    run_by_call(FaultKind::All);
}

/// Guards against keys that the next incarnation of a server gets with the token of the one before: the process
/// beside it has just started too, and takes a late heartbeat for the server that runs.
#[test]
fn next_incarnation() {
    check(149, FaultKind::PowerLosses, Granting::ByCall);
    check(76, FaultKind::All, Granting::ByCall);
}

/// Guards against keys that the next incarnation of a server gets with the token of the one before: late heartbeats
/// of that one arrive after the node has connected to the next.
#[test]
fn late_heartbeats_of_earlier_server() {
    for seed in 0..60 {
        let mut fleet = Fleet::new(plan(seed, FaultKind::NoFaults, Granting::ByCall));
        fleet.model_connections();
        fleet.restart_server_unheard(Duration::from_secs(10));
        fleet.run();
        assert_eq!(fleet.violation, None, "seed {seed}");
        assert!(
            fleet.final_owned >= 65_000,
            "seed {seed}: {} keys",
            fleet.final_owned
        );
    }
}

/// Guards against keys without an owner because no connection that leads to the server's incarnation is left.
#[test]
fn connections_lost() {
    for (faults, seeds) in [
        (FaultKind::NoFaults, 0..20),
        (FaultKind::PowerLosses, 0..20),
        (FaultKind::All, 0..20),
    ] {
        for seed in seeds {
            let mut fleet = Fleet::new(plan(seed, faults, Granting::ByCall));
            fleet.model_connections();
            fleet.run();
            assert_eq!(fleet.violation, None, "{faults:?}, seed {seed}");
            let owned = fleet.final_owned;
            assert!(owned >= 65_536, "{faults:?}, seed {seed}: {owned} keys");
        }
    }
}

/// Guards against calls that are repeated without a pause while there is no connection for them: they took a
/// processor, and wrote thousands of lines a second.
#[test]
fn unsent_calls_pause() {
    let mut fleet = Fleet::new(plan(3, FaultKind::NoFaults, Granting::ByCall));
    fleet.model_connections();
    fleet.restart_server_unheard(Duration::from_secs(10));
    fleet.run();
    // Six servers start, and wait for their second heartbeat; a call is repeated after 0.15 s.
    assert!(fleet.unsent < 200, "{} calls", fleet.unsent);
}
