//! Every reader of the intent stream reaches the same verdict about every record.

#![allow(clippy::unwrap_used)]

mod intent_support;

use assert_matches::assert_matches;
use intent_support::MemoryLog;
use intent_support::Reader;
use intent_support::assert_same_state;
use intent_support::digest;
use intent_support::document;
use intent_support::keys;
use intent_support::order;
use intent_support::promote;
use intent_support::publish;
use intent_support::signed;
use intent_support::zone_out;
use proptest::prelude::*;
use quetzalrack_core::ids::RecordId;
use quetzalrack_core::ids::Version;
use quetzalrack_core::intent::IntentHappening;
use quetzalrack_core::intent::LogRecord;
use quetzalrack_core::intent::Order;
use quetzalrack_core::intent::Rejection;
use quetzalrack_core::intent::Stage;

fn read(stage: Stage, records: &[LogRecord]) -> Reader {
    let mut log = MemoryLog::default();
    for record in records {
        log.append_record(record);
    }
    let mut reader = Reader::open(stage);
    reader.catch_up(&log);
    reader
}

fn rejections(reader: &Reader) -> Vec<&Rejection> {
    reader
        .explained
        .iter()
        .filter_map(|happening| match happening {
            IntentHappening::OrderRejected { rejection, .. } => Some(rejection),
            _ => None,
        })
        .collect()
}

#[test]
fn publish_and_promote() {
    let records = [publish(1, 0, 7), promote(2, 0, 7)];
    let reader = read(Stage::Production, &records);
    let in_force = reader.state.in_force().unwrap();
    assert_eq!(in_force.digest, digest(7));
    assert_eq!(in_force.version, Version(1));
    assert_eq!(
        reader.state.document_text(digest(7)).as_deref(),
        Some(document(7).as_str())
    );
}

#[test]
fn independent_stages() {
    let reader = read(
        Stage::Production,
        &[publish(1, 0, 7), zone_out(2, 1, "suba")],
    );
    assert!(reader.state.in_force().is_none());
    assert!(
        reader
            .state
            .stage(Stage::Trial)
            .zones_out()
            .contains(&"suba".parse().unwrap())
    );
}

#[test]
fn wrong_base() {
    // Two operators change the same version. Every reader rejects the record that comes later in
    // the log, because its base is no longer current, and reports the winner.
    let records = [publish(1, 0, 1), publish(2, 1, 2), publish(3, 1, 3)];
    let reader = read(Stage::Trial, &records);
    assert_eq!(reader.state.in_force().unwrap().digest, digest(2));
    assert_matches!(
        rejections(&reader)[..],
        [Rejection::WrongBase { base: Version(1), current: Version(2), winner: Some(winner) }]
            if winner.id == RecordId(uuid::Uuid::from_u128(2)) && winner.why == "reason 2"
    );
}

#[test]
fn duplicate_record() {
    // The answer to an append is lost and the record is appended again with the same id. The second
    // one must not count, nor be reported as a conflict with another operator.
    let records = [
        publish(1, 0, 1),
        zone_out(2, 1, "suba"),
        zone_out(2, 1, "suba"),
    ];
    let reader = read(Stage::Trial, &records);
    assert_eq!(reader.state.version(), Version(2));
    assert_eq!(rejections(&reader), [&Rejection::Duplicate]);
}

#[test]
fn early_promotion() {
    // A promotion is rejected because trial has not accepted its document. Trial accepts it, then
    // the promotion is appended again: it must stay rejected, also for a reader that started from a
    // snapshot between the two and never read the first.
    let mut log = MemoryLog::default();
    let mut early = Reader::open(Stage::Production);
    let mut late = Reader::open(Stage::Production);
    log.append_record(&promote(1, 0, 7));
    log.append_record(&publish(2, 0, 7));
    early.catch_up(&log);
    late.receive_snapshot(early.state.snapshot());
    log.append_record(&promote(1, 0, 7));
    early.catch_up(&log);
    late.catch_up(&log);
    assert!(early.state.in_force().is_none());
    assert_same_state(&early.state, &late.state);
}

#[test]
fn ignored_records() {
    let digest = digest(2);
    let mut foreign = signed(2, 1, Order::Publish { digest }, &keys(&["stranger"]));
    foreign.document = Some(document(2));
    let mut changed = signed(3, 1, Order::Publish { digest }, &keys(&["k1"]));
    changed.document = Some(document(3));
    let mut log = MemoryLog::default();
    log.append_record(&publish(1, 0, 1));
    log.append(b"{".to_vec());
    log.append(vec![0xff; 4]);
    log.append_record(&LogRecord::Order(foreign));
    log.append_record(&LogRecord::Order(changed));
    let mut reader = Reader::open(Stage::Trial);
    reader.catch_up(&log);
    assert_eq!(reader.state.version(), Version(1));
    assert_eq!(rejections(&reader), [&Rejection::InvalidDocument]);
    assert!(reader.state.is_caught_up());
}

#[test]
fn unknown_zone() {
    let reader = read(Stage::Trial, &[publish(1, 0, 1), zone_out(2, 1, "nowhere")]);
    assert_matches!(rejections(&reader)[..], [Rejection::UnknownZone { .. }]);
    let reader = read(Stage::Trial, &[zone_out(2, 0, "suba")]);
    assert_matches!(rejections(&reader)[..], [Rejection::NothingInForce]);
}

#[test]
fn rollback_order() {
    let stage = Stage::Trial;
    let rollback = Order::Rollback {
        stage,
        digest: digest(1),
    };
    let records = [
        publish(1, 0, 1),
        publish(2, 1, 2),
        zone_out(3, 2, "suba"),
        order(4, 3, rollback),
    ];
    let in_force = read(stage, &records).state.in_force().unwrap();
    assert_eq!(in_force.version, Version(4));
    assert_eq!(in_force.digest, digest(1));
    assert!(in_force.zones_out.contains(&"suba".parse().unwrap()));
}

#[test]
fn racing_operators() {
    // Two operators change the same version 200 times. Each round has exactly one winner; the loser
    // learns which record won and retries on the new version. No order is lost.
    let mut log = MemoryLog::default();
    let mut reader = Reader::open(Stage::Trial);
    log.append_record(&publish(1, 0, 0));
    reader.catch_up(&log);
    for round in 0..200u128 {
        let base = reader.state.version();
        let zone = ["chapinero", "usaquen", "fontibon", "suba"][(round % 4) as usize];
        let (first, second) = (2 * round + 10, 2 * round + 11);
        log.append_record(&zone_out(first, base.0, zone));
        log.append_record(&publish(second, base.0, round as u32));
        reader.explained.clear();
        reader.catch_up(&log);
        assert_matches!(
            &reader.explained[..],
            [
                IntentHappening::OrderAccepted { summary, .. },
                IntentHappening::OrderRejected {
                    rejection: Rejection::WrongBase { winner: Some(winner), .. },
                    ..
                },
            ] if summary == winner.as_ref()
        );
        log.append_record(&publish(second + 1_000, base.0 + 1, round as u32));
        reader.catch_up(&log);
        assert_eq!(reader.state.version(), Version(base.0 + 2));
    }
    let mut other = Reader::open(Stage::Trial);
    other.catch_up(&log);
    assert_same_state(&reader.state, &other.state);
}

#[derive(Clone, Debug)]
enum Step {
    Publish { behind: u64, variant: u32 },
    Promote { behind: u64, variant: u32 },
    Zone { behind: u64, zone: usize },
    Repeat { back: usize },
}

fn any_step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (0..3u64, 0..4u32).prop_map(|(behind, variant)| Step::Publish { behind, variant }),
        (0..3u64, 0..4u32).prop_map(|(behind, variant)| Step::Promote { behind, variant }),
        (0..3u64, 0..4usize).prop_map(|(behind, zone)| Step::Zone { behind, zone }),
        (1..6usize).prop_map(|back| Step::Repeat { back }),
    ]
}

fn encode_record(step: &Step, number: u128, reader: &Reader, log: &MemoryLog) -> Vec<u8> {
    let trial = reader.state.stage(Stage::Trial).version().0;
    let production = reader.state.stage(Stage::Production).version().0;
    let record = match step {
        Step::Publish { behind, variant } => {
            publish(number, trial.saturating_sub(*behind), *variant)
        }
        Step::Promote { behind, variant } => {
            promote(number, production.saturating_sub(*behind), *variant)
        }
        Step::Zone { behind, zone } => {
            let zone = ["chapinero", "usaquen", "fontibon", "nowhere"][*zone];
            zone_out(number, trial.saturating_sub(*behind), zone)
        }
        Step::Repeat { back } => {
            let index = log.entries.len().saturating_sub(*back);
            return log
                .entries
                .get(index)
                .map_or(b"{}".to_vec(), |entry| entry.data.clone());
        }
    };
    record.to_data().unwrap()
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 48, failure_persistence: None, ..Default::default() })]

    /// A reader reaches the same intent from the log's beginning and from any snapshot, whatever
    /// duplicate, conflicting or invalid records the log has.
    #[test]
    fn equal_replay(steps in prop::collection::vec(any_step(), 1..40), start in 0..40usize) {
        let mut log = MemoryLog::default();
        let mut reader = Reader::open(Stage::Trial);
        let mut late = Reader::open(Stage::Trial);
        for (index, step) in steps.iter().enumerate() {
            let data = encode_record(step, index as u128 + 1, &reader, &log);
            log.append(data);
            reader.catch_up(&log);
            if index == start {
                late.receive_snapshot(reader.state.snapshot());
            }
        }
        late.catch_up(&log);
        let mut full = Reader::open(Stage::Trial);
        full.catch_up(&log);
        assert_same_state(&reader.state, &full.state);
        assert_same_state(&reader.state, &late.state);
        prop_assert!(reader.versions.windows(2).all(|pair| pair[0] < pair[1]));
    }
}
