//! No key ever has two holders where servers are granted keys by call: calls are lost, and obeyed up
//! to six seconds late, after later grants and after releases, and by whoever listens by then.
#![allow(clippy::unwrap_used, clippy::panic)]

mod ownership_support;

use ownership_support::Trouble;
use ownership_support::play;
use quetzalrack_mesh::model::Granting;

fn play_by_call(trouble: Trouble) -> f64 {
    play(trouble, Granting::ByCall)
}

/// Calls fail now and then, and nothing else does: keys have owners within the first seconds, and keep
/// them.
#[test]
fn calm() {
    let unowned = play_by_call(Trouble::Calm);
    assert!(unowned < 6.0, "{unowned} s without an owner");
}

/// Processes are killed between a call and its answer. The next process does not know what was asked
/// for, and the server may be granted it late.
#[test]
fn kills() {
    play_by_call(Trouble::Kills);
}

/// Processes are told to leave in turn while their servers' keys are renewed.
#[test]
fn leaves() {
    play_by_call(Trouble::Leaves);
}

/// Hosts lose power; a late call reaches the next life of the server.
#[test]
fn power() {
    play_by_call(Trouble::Power);
}

/// Nodes hear only some of the others, or not the store, and calls go on as long as leases do.
#[test]
fn cuts() {
    play_by_call(Trouble::Cuts);
}

/// The store is away, or does what it was asked and does not say so.
#[test]
fn store() {
    play_by_call(Trouble::Store);
}

/// Nodes stand still between deciding on a call and sending it.
#[test]
fn freezes() {
    play_by_call(Trouble::Freezes);
}

/// All of it at once.
#[test]
fn everything() {
    play_by_call(Trouble::Everything);
}
