//! Reads of the operators' topic.
#![allow(clippy::unwrap_used, clippy::panic)]

mod lone_node;

use quetzalrack_mesh::model::Granting;
use quetzalrack_mesh::ownership::Action;
use quetzalrack_mesh::ownership::Event;
use quetzalrack_mesh::ownership::IntentRead;

use lone_node::at;
use lone_node::node;

/// The time after the store's return within which a node must have read from it, if no peer tells it of
/// newer intent. After this time a host without faults counts as connected again.
const READ_LIMIT_MS: u64 = 3_000;
/// The time after which a read without a wait fails.
const READ_TIMEOUT_MS: u64 = 1_500;

/// Simulates a node whose store answers no reads in a period, and returns the start of each read that was
/// answered. A read that is in progress when the period begins, or starts in it, is never answered.
fn answered(outage: std::ops::Range<u64>, end: u64) -> Vec<u64> {
    let mut node = node(Granting::ByHeartbeat);
    let mut answered = Vec::new();
    let mut reading: Option<(u64, u64)> = None;
    for now in (0..end).step_by(20) {
        let mut event = Event::Tick;
        if let Some((begun, wait)) = reading {
            let lost = begun < outage.end && now >= outage.start;
            if !lost && now >= begun + wait + 5 {
                answered.push(begun);
                event = Event::IntentRead(IntentRead::Unchanged { begun: at(begun) });
                reading = None;
            } else if wait == 0 && now >= begun + READ_TIMEOUT_MS {
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

/// Guards against a read that still waits after the store is back, whenever the outage begins and however
/// long it lasts.
#[test]
fn after_outage() {
    for begin in (4_000..7_000).step_by(60) {
        for length in [100, 700, 1_500, 2_300, 4_000, 9_000] {
            let back = begin + length;
            let answered = answered(begin..back, back + READ_LIMIT_MS);
            let after = answered.iter().filter(|begun| **begun >= back);
            assert!(after.count() > 0, "unreachable from {begin} to {back}");
        }
    }
}

/// Guards against a node that calls the store more often than once a second without faults.
#[test]
fn quiet_store() {
    let reads = answered(0..0, 60_000).len();
    assert!((30..=60).contains(&reads), "{reads} in a minute");
}
