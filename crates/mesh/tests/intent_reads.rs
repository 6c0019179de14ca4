//! When the operators' topic is read.
#![allow(clippy::unwrap_used, clippy::panic)]

mod lone_node;

use quetzalrack_mesh::model::Granting;
use quetzalrack_mesh::ownership::Action;
use quetzalrack_mesh::ownership::Event;
use quetzalrack_mesh::ownership::IntentRead;

use lone_node::at;
use lone_node::node;

/// How long after its return a store's news may be unknown to a node that nobody tells: after so long a
/// calm host counts as in touch again.
const KNOWN: u64 = 3_000;
/// How long a read without a wait may take until whoever carries it out gives up.
const PATIENCE: u64 = 1_500;

/// Plays a node whose store answers nobody from one moment to another, and returns when each read that was
/// answered had been begun. A read that is on its way when the silence begins, or begun in it, is never
/// answered.
fn answered(silent: std::ops::Range<u64>, end: u64) -> Vec<u64> {
    let mut node = node(Granting::ByHeartbeat);
    let mut answered = Vec::new();
    let mut reading: Option<(u64, u64)> = None;
    for now in (0..end).step_by(20) {
        let mut event = Event::Tick;
        if let Some((begun, wait)) = reading {
            let lost = begun < silent.end && now >= silent.start;
            if !lost && now >= begun + wait + 5 {
                answered.push(begun);
                event = Event::IntentRead(IntentRead::Unchanged { begun: at(begun) });
                reading = None;
            } else if wait == 0 && now >= begun + PATIENCE {
                event = Event::IntentRead(IntentRead::Failed);
                reading = None;
            }
        }
        for action in node.step(at(now), event) {
            if let Action::ReadIntent { wait } = action {
                reading = Some((now, u64::try_from(wait.as_millis()).unwrap()));
            }
        }
    }
    answered
}

/// Guards against a read that hangs on after the store is back, whenever the silence begins and however
/// long it lasts.
#[test]
fn after_silence() {
    for begin in (4_000..7_000).step_by(60) {
        for length in [100, 700, 1_500, 2_300, 4_000, 9_000] {
            let back = begin + length;
            let answered = answered(begin..back, back + KNOWN);
            let after = answered.iter().filter(|begun| **begun >= back);
            assert!(after.count() > 0, "silent from {begin} to {back}");
        }
    }
}

/// Guards against a node that calls the store more often than once a second while all is well.
#[test]
fn quiet_store() {
    let reads = answered(0..0, 60_000).len();
    assert!((30..=60).contains(&reads), "{reads} in a minute");
}
