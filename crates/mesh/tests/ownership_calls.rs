//! No key ever has two holders where servers are granted keys by call: calls are lost, and obeyed up
//! to six seconds late, after later grants and after releases, and by whoever listens by then.
#![allow(clippy::unwrap_used, clippy::panic)]

mod ownership_support;

use ownership_support::FaultKind;
use ownership_support::run_schedules;
use quetzalrack_mesh::model::Granting;

fn run_by_call(faults: FaultKind) -> f64 {
    run_schedules(faults, Granting::ByCall)
}

/// Calls fail now and then, and nothing else does: keys have owners within the first seconds, and keep
/// them.
#[test]
fn calm() {
    let unowned = run_by_call(FaultKind::NoFaults);
    assert!(unowned < 6.0, "{unowned} s without an owner");
}

/// Processes are killed between a call and its answer. The next process does not know what was asked
/// for, and the server may be granted it late.
#[test]
fn kills() {
    run_by_call(FaultKind::Kills);
}

/// Processes are told to leave in turn while their servers' keys are renewed.
#[test]
fn leaves() {
    run_by_call(FaultKind::Shutdowns);
}

/// Hosts lose power; a late call reaches the next life of the server.
#[test]
fn power() {
    run_by_call(FaultKind::PowerLosses);
}

/// Nodes hear only some of the others, or not the store, and calls go on as long as leases do.
#[test]
fn cuts() {
    run_by_call(FaultKind::Partitions);
}

/// The store is away, or does what it was asked and does not say so.
#[test]
fn store() {
    run_by_call(FaultKind::StoreFaults);
}

/// Nodes stand still between deciding on a call and sending it.
#[test]
fn freezes() {
    run_by_call(FaultKind::Freezes);
}

/// All of it at once.
#[test]
fn everything() {
    run_by_call(FaultKind::All);
}
