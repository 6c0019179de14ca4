//! Snapshots in the log and from peers deliver missed intent and never restore older intent.

#![allow(clippy::unwrap_used)]

mod intent_support;

use std::time::Duration;

use assert_matches::assert_matches;
use intent_support::MemoryLog;
use intent_support::Reader;
use intent_support::assert_same_state;
use intent_support::digest;
use intent_support::keys;
use intent_support::promote;
use intent_support::publish;
use intent_support::zone_out;
use quetzalrack_core::ids::Version;
use quetzalrack_core::intent::IntentEvent;
use quetzalrack_core::intent::IntentHappening;
use quetzalrack_core::intent::LogRecord;
use quetzalrack_core::intent::Stage;

const MINUTE: Duration = Duration::from_secs(60);

fn filled_log(changes: u64) -> MemoryLog {
    let mut log = MemoryLog::default();
    for version in 0..changes {
        log.append_record(&publish(u128::from(version) + 1, version, version as u32));
    }
    log
}

#[test]
fn start_without_log() {
    // A node starts while the log is down. It gets the intent in force from a running peer, but
    // only if both have the same key.
    let log = filled_log(3);
    let mut peer = Reader::open(Stage::Trial);
    peer.catch_up(&log);
    let mut fresh = Reader::open(Stage::Trial);
    fresh.receive_snapshot(peer.state.snapshot());
    assert_same_state(&peer.state, &fresh.state);

    let mut other_key = Reader::with_keys(Stage::Trial, keys(&["stranger"]));
    other_key.receive_snapshot(peer.state.snapshot());
    assert!(other_key.state.in_force().is_none());
    assert_eq!(other_key.explained, [IntentHappening::SnapshotIgnored]);
}

#[test]
fn stale_snapshot() {
    // A controller makes a snapshot, is paused, and appends it after a newer promotion. Readers
    // that have the promotion must keep it, and one that starts later must reach it too.
    let mut log = filled_log(1);
    let mut old = Reader::open(Stage::Production);
    old.catch_up(&log);
    let snapshot = old.state.snapshot().unwrap();
    log.append_record(&promote(50, 0, 0));
    let mut reader = Reader::open(Stage::Production);
    reader.catch_up(&log);
    log.append_record(&LogRecord::Copy(snapshot));
    reader.catch_up(&log);
    assert_eq!(reader.state.in_force().unwrap().version, Version(1));
    let mut late = Reader::open(Stage::Production);
    late.catch_up(&log);
    assert_same_state(&reader.state, &late.state);
}

#[test]
fn outdated_peers() {
    // A host returns and finds only peers that were cut off as long as it was. It takes their
    // intent, reads newer intent once the log is back, and must not return to their older snapshot.
    let mut log = filled_log(2);
    let mut peer = Reader::open(Stage::Trial);
    peer.catch_up(&log);
    let mut returned = Reader::open(Stage::Trial);
    returned.receive_snapshot(peer.state.snapshot());
    assert_eq!(returned.state.version(), Version(2));
    log.append_record(&publish(90, 2, 9));
    returned.catch_up(&log);
    returned.receive_snapshot(peer.state.snapshot());
    assert_eq!(returned.state.in_force().unwrap().digest, digest(9));
    assert_eq!(returned.versions, [Version(2), Version(3)]);
}

#[test]
fn missed_changes() {
    // A reader is paused during 50 changes, and the log expires all but the newest ten and a
    // snapshot. It must not check the ten against its old version, and must reach the others'
    // state.
    let mut log = filled_log(2);
    let mut lagging = Reader::open(Stage::Trial);
    let mut current = Reader::open(Stage::Trial);
    lagging.catch_up(&log);
    for version in 2..52u64 {
        log.append_record(&publish(u128::from(version) + 1, version, version as u32));
        if version == 40 {
            current.catch_up(&log);
            log.append_record(&LogRecord::Copy(current.state.snapshot().unwrap()));
            log.oldest = log.entries.len() - 1;
        }
    }
    current.catch_up(&log);
    lagging.catch_up(&log);
    assert_matches!(
        lagging.explained[..],
        [.., IntentHappening::OrderAccepted { .. }]
    );
    assert_same_state(&current.state, &lagging.state);
    assert_eq!(lagging.state.version(), Version(52));
}

#[test]
fn expired_base() {
    // Records expire unread, and the next record names the reader's version as its base. It lost to
    // an expired record, so the reader must wait for a snapshot and not accept it.
    let mut log = filled_log(2);
    let mut lagging = Reader::open(Stage::Trial);
    lagging.catch_up(&log);
    let mut current = Reader::open(Stage::Trial);
    log.append_record(&publish(70, 2, 7));
    current.catch_up(&log);
    log.expire_all();
    log.append_record(&publish(80, 2, 8));
    current.catch_up(&log);
    lagging.catch_up(&log);
    assert_eq!(lagging.state.version(), Version(2));
    assert!(!lagging.state.is_caught_up());
    lagging.receive_snapshot(current.state.snapshot());
    lagging.catch_up(&log);
    assert_same_state(&current.state, &lagging.state);
    assert!(lagging.state.is_caught_up());
}

#[test]
fn snapshot_retention() {
    // Nothing changes for a day, and the log keeps records for half an hour. The controller renews
    // the snapshot in time, so that a new reader always finds one in the log.
    let mut log = filled_log(3);
    let mut controller = Reader::open(Stage::Trial);
    controller.catch_up(&log);
    controller.step(IntentEvent::RepublishAllowed(true));
    for _ in 0..24 * 60 {
        controller.advance(MINUTE, &mut log);
        controller.catch_up(&log);
        let kept_from = log.wall.0.saturating_sub(30 * 60 * 1_000);
        log.oldest = log
            .entries
            .partition_point(|entry| entry.taken.0 < kept_from);
        let mut fresh = Reader::open(Stage::Trial);
        fresh.catch_up(&log);
        assert_eq!(fresh.state.version(), Version(3));
    }
    let copies = log.entries.len() - 3;
    assert!(
        (24 * 6 / 2..=24 * 6 + 1).contains(&copies),
        "{copies} copies"
    );
}

#[test]
fn changing_controllers() {
    // Each controller runs for five minutes, less than the time between snapshots. The log's own
    // times tell it how old the newest snapshot is, so that the next one is still made in time.
    let mut log = filled_log(1);
    for _ in 0..12 {
        let mut controller = Reader::open(Stage::Trial);
        controller.step(IntentEvent::Tick { wall: log.wall });
        controller.catch_up(&log);
        controller.step(IntentEvent::RepublishAllowed(true));
        for _ in 0..5 {
            controller.advance(MINUTE, &mut log);
            controller.catch_up(&log);
        }
    }
    let newest = log.entries.last().unwrap().taken;
    assert!(log.wall.since(newest) <= 12 * MINUTE);
    assert!(log.entries.len() <= 1 + 12);
}

#[test]
fn expired_records() {
    // The log was down past its retention, so the records behind what is in force are gone. The
    // controller detects the gap, gets nothing newer from peers, and publishes its own state.
    let mut log = filled_log(2);
    let mut controller = Reader::open(Stage::Trial);
    controller.catch_up(&log);
    log.append(b"{}".to_vec());
    log.expire_all();
    controller.catch_up(&log);
    assert!(!controller.state.is_caught_up());
    controller.step(IntentEvent::RepublishAllowed(true));
    for _ in 0..30 {
        controller.advance(Duration::from_secs(1), &mut log);
        controller.catch_up(&log);
    }
    assert!(controller.state.is_caught_up());
    let mut fresh = Reader::open(Stage::Trial);
    fresh.catch_up(&log);
    assert_same_state(&controller.state, &fresh.state);
    assert_eq!(log.entries.len(), 4);
}

#[test]
fn stale_recovery() {
    // A controller that missed records gets nothing from its peers and publishes its older intent.
    // A reader that starts from that alone is outdated. A controller with newer intent must publish
    // it at once and not ten minutes later.
    let mut log = filled_log(1);
    let mut behind = Reader::open(Stage::Trial);
    behind.catch_up(&log);
    log.append_record(&publish(90, 1, 9));
    let mut controller = Reader::open(Stage::Trial);
    controller.catch_up(&log);
    controller.step(IntentEvent::RepublishAllowed(true));
    log.expire_all();
    log.append(b"{}".to_vec());
    behind.catch_up(&log);
    behind.step(IntentEvent::RepublishAllowed(true));
    behind.advance(MINUTE, &mut log);
    assert_eq!(log.entries.len(), 4);
    let mut fresh = Reader::open(Stage::Trial);
    fresh.catch_up(&log);
    assert_eq!(fresh.state.version(), Version(1));

    controller.catch_up(&log);
    controller.advance(Duration::from_secs(1), &mut log);
    controller.catch_up(&log);
    controller.advance(Duration::from_secs(1), &mut log);
    assert_eq!(log.entries.len(), 5, "one new snapshot");
    fresh.catch_up(&log);
    behind.catch_up(&log);
    assert_same_state(&controller.state, &fresh.state);
    assert_same_state(&controller.state, &behind.state);
    assert_eq!(fresh.state.version(), Version(2));
}

#[test]
fn lost_fleet() {
    // Every node was lost and the records are past retention. A new reader can't check the base of
    // a new order, so it waits until an operator's fresh start lets all readers begin without
    // state.
    let mut log = filled_log(2);
    log.expire_all();
    let mut reader = Reader::open(Stage::Trial);
    reader.catch_up(&log);
    log.append_record(&LogRecord::Copy(reader.state.fresh_start().unwrap()));
    log.append_record(&publish(9, 0, 9));
    reader.catch_up(&log);
    assert_eq!(reader.state.in_force().unwrap().digest, digest(9));
    assert!(reader.state.fresh_start().is_none());
}

#[test]
fn replaced_key() {
    // The operators' key is replaced while an old order is still in force. A reader that only has
    // the new key takes it from a snapshot, whose signature is made with the new key.
    let log = filled_log(1);
    let mut peer = Reader::open(Stage::Trial);
    peer.catch_up(&log);
    peer.step(IntentEvent::KeysChanged(keys(&["k2", "k1"])));
    let mut fresh = Reader::with_keys(Stage::Trial, keys(&["k2"]));
    fresh.receive_snapshot(peer.state.snapshot());
    assert_same_state(&peer.state, &fresh.state);
}

#[test]
fn retained_order() {
    // A zone is taken out of service, then a hundred documents follow. The history no longer has
    // the order, but a reader that starts from a snapshot must still keep the zone out.
    let mut log = filled_log(1);
    log.append_record(&zone_out(500, 1, "suba"));
    for version in 2..102u64 {
        log.append_record(&publish(u128::from(version) + 1, version, version as u32));
    }
    let mut reader = Reader::open(Stage::Trial);
    reader.catch_up(&log);
    let mut fresh = Reader::open(Stage::Trial);
    fresh.receive_snapshot(reader.state.snapshot());
    assert_same_state(&reader.state, &fresh.state);
    assert!(
        fresh
            .state
            .in_force()
            .unwrap()
            .zones_out
            .contains(&"suba".parse().unwrap())
    );
    assert!(fresh.state.stage(Stage::Trial).history().len() <= 33);
}
