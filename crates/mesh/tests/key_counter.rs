//! Load counters of keys.

use std::time::Duration;

use quetzalrack_core::time::Moment;
use quetzalrack_mesh::model::KeyRange;
use quetzalrack_mesh::traffic::KeyCounter;

const SERVICE_TIME: Duration = Duration::from_millis(100);

/// A hot key is reported as a range of its own, so it can move without its neighbours. Together the ranges
/// cover exactly the keys that the server holds.
#[test]
fn hot_key() {
    let mut counter = KeyCounter::default();
    for key in 0..1_000_u16 {
        counter.count(key, SERVICE_TIME);
    }
    for _ in 0..2_000 {
        counter.count(500, SERVICE_TIME);
    }
    let held = KeyRange {
        first: 0,
        last: 999,
    };
    let loads = counter.loads(Moment::default(), &[held]);
    let hot = loads.iter().find(|load| load.keys.contains(500)).unwrap();
    assert_eq!(hot.keys.size(), 1);
    let sizes: u32 = loads.iter().map(|load| load.keys.size()).sum();
    assert_eq!(sizes, 1_000);
}

/// The load of a key decays within seconds after its last requests.
#[test]
fn cooled_key() {
    let mut counter = KeyCounter::default();
    for _ in 0..1_000 {
        counter.count(7, SERVICE_TIME);
    }
    let held = [KeyRange::ALL];
    let before: u32 = counter
        .loads(Moment::default(), &held)
        .iter()
        .map(|load| load.milli_slots)
        .sum();
    let later = Moment(10_000_000_000);
    let after: u32 = counter
        .loads(later, &held)
        .iter()
        .map(|load| load.milli_slots)
        .sum();
    assert!(after * 100 < before, "{before} {after}");
}
