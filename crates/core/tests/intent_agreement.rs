//! Readers that miss records, receive peers' snapshots and read late ones, in any order, converge.

#![allow(clippy::unwrap_used)]

mod intent_support;

use std::time::Duration;

use intent_support::MemoryLog;
use intent_support::Reader;
use intent_support::assert_same_state;
use intent_support::publish;
use proptest::prelude::*;
use quetzalrack_core::intent::IntentEvent;
use quetzalrack_core::intent::LogRecord;
use quetzalrack_core::intent::Stage;

const READERS: usize = 3;

#[derive(Clone, Debug)]
enum Step {
    /// An operator publishes on the version of one reader, which may be outdated.
    Publish { reader: usize, variant: u32 },
    /// A reader reads the log.
    Read { reader: usize },
    /// A reader restarts without state.
    Restart { reader: usize },
    /// One reader receives another's snapshot.
    SendSnapshot { from: usize, to: usize },
    /// A reader appends its snapshot, which may be outdated, to the log.
    AppendSnapshot { reader: usize },
    /// The log expires all but its newest records.
    Expire { kept: usize },
}

fn any_step() -> impl Strategy<Value = Step> {
    let reader = 0..READERS;
    prop_oneof![
        4 => (reader.clone(), 0..4u32)
            .prop_map(|(reader, variant)| Step::Publish { reader, variant }),
        4 => reader.clone().prop_map(|reader| Step::Read { reader }),
        1 => reader.clone().prop_map(|reader| Step::Restart { reader }),
        2 => (reader.clone(), reader.clone()).prop_map(|(from, to)| Step::SendSnapshot { from, to }),
        1 => reader.prop_map(|reader| Step::AppendSnapshot { reader }),
        1 => (0..4usize).prop_map(|kept| Step::Expire { kept }),
    ]
}

fn run(step: &Step, number: u128, readers: &mut [Reader], log: &mut MemoryLog) {
    match *step {
        Step::Publish { reader, variant } => {
            let base = readers[reader].state.stage(Stage::Trial).version();
            log.append_record(&publish(number, base.0, variant));
        }
        Step::Read { reader } => readers[reader].catch_up(log),
        Step::Restart { reader } => readers[reader] = Reader::open(Stage::Trial),
        Step::SendSnapshot { from, to } => {
            let snapshot = readers[from].state.snapshot();
            readers[to].receive_snapshot(snapshot);
        }
        Step::AppendSnapshot { reader } => {
            if let Some(snapshot) = readers[reader].state.snapshot() {
                log.append_record(&LogRecord::Copy(snapshot));
            }
        }
        Step::Expire { kept } => {
            log.oldest = log.oldest.max(log.entries.len().saturating_sub(kept));
        }
    }
}

/// Lets every reader read the log, exchange snapshots with all others and, as controller,
/// republish.
fn converge(readers: &mut [Reader], log: &mut MemoryLog) {
    for reader in readers.iter_mut() {
        reader.step(IntentEvent::RepublishAllowed(true));
    }
    for _ in 0..6 {
        for index in 0..READERS {
            readers[index].catch_up(log);
            readers[index].advance(Duration::from_secs(20), log);
            let snapshot = readers[index].state.snapshot();
            for other in readers.iter_mut() {
                other.receive_snapshot(snapshot.clone());
            }
        }
    }
    for reader in readers.iter_mut() {
        reader.catch_up(log);
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, failure_persistence: None, ..Default::default() })]

    #[test]
    fn final_agreement(steps in prop::collection::vec(any_step(), 1..60)) {
        let mut log = MemoryLog::default();
        let mut readers: Vec<_> = (0..READERS).map(|_| Reader::open(Stage::Trial)).collect();
        for (index, step) in steps.iter().enumerate() {
            run(step, index as u128 + 1, &mut readers, &mut log);
        }
        converge(&mut readers, &mut log);
        for reader in &readers {
            prop_assert!(reader.versions.windows(2).all(|pair| pair[0] < pair[1]));
            assert_same_state(&readers[0].state, &reader.state);
            // If no reader has any state left, only an operator's fresh start helps.
            let is_lost = reader.state.fresh_start().is_some();
            prop_assert!(reader.state.is_caught_up() || is_lost);
        }
    }
}
