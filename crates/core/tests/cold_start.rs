//! A backend server in cold start gets no more requests than its cold slots.

#![allow(clippy::unwrap_used)]

mod admission_bench;

use std::time::Duration;

use quetzalrack_core::cluster::ServerState;
use quetzalrack_core::traffic::admission::AdmissionEvent;

use admission_bench::Bench;
use admission_bench::COLD_SLOTS;
use admission_bench::SLOTS;

/// A backend server starts cold and is offered twenty times its capacity. It never gets more than
/// its cold slots until it has warmed up; then its limit grows to its slots.
#[test]
fn cold_start() {
    let mut bench = Bench::new(ServerState::Cold);
    bench.advance(Duration::from_millis(300), 5);
    assert_eq!(bench.max_running, COLD_SLOTS);
    bench.announce(1, ServerState::Warm);
    bench.advance(Duration::from_millis(150), 5);
    assert_eq!(
        bench.max_running, COLD_SLOTS,
        "its announcement alone does not end the cold start"
    );
    bench.advance(Duration::from_millis(400), 5);
    assert_eq!(bench.limit(), SLOTS);
}

/// A backend server restarts while warm. The new incarnation starts with its cold slots, and
/// requests of the old one no longer hold slots.
#[test]
fn restarted_server() {
    let mut bench = Bench::new(ServerState::Warm);
    bench.advance(Duration::from_millis(300), 5);
    assert_eq!(bench.limit(), SLOTS);
    let old = bench.running.clone();
    bench.running.clear();
    bench.max_running = 0;
    bench.announce(2, ServerState::Cold);
    assert_eq!(bench.limit(), COLD_SLOTS);
    assert!(bench.admission.in_flight().0 <= COLD_SLOTS);
    let (ticket, _, outcome) = old[0];
    let before = bench.admission.in_flight();
    bench.step(AdmissionEvent::Ended { ticket, outcome });
    assert_eq!(
        bench.admission.in_flight(),
        before,
        "a request of the old incarnation frees no slot"
    );
}

/// A backend server turns cold without announcing it and sheds requests above three times its cold
/// slots. Its node sees the first refusals and lowers the limit to the cold slots within a few
/// milliseconds.
#[test]
fn silent_cold_sheds() {
    let mut bench = Bench::new(ServerState::Warm);
    bench.advance(Duration::from_millis(300), 5);
    bench.capacity = COLD_SLOTS;
    bench.advance(Duration::from_millis(60), 5);
    assert_eq!(bench.limit(), COLD_SLOTS);
    assert_eq!(bench.admission.state(), ServerState::Cold);
    bench.advance(Duration::from_millis(100), 5);
    bench.max_running = 0;
    bench.advance(Duration::from_millis(300), 5);
    assert_eq!(bench.max_running, COLD_SLOTS);
}

/// A backend server turns cold without announcing it, under a load at which it is slow but sheds
/// nothing. A trial with the limit at the cold slots finds it quick, so it is cold and not a
/// straggler.
#[test]
fn silent_cold_slow() {
    let mut bench = Bench::new(ServerState::Warm);
    bench.advance(Duration::from_millis(300), 5);
    bench.advance(Duration::from_millis(100), 0);
    bench.keep_busy(Duration::from_millis(300), 5);
    bench.capacity = COLD_SLOTS;
    bench.keep_busy(Duration::from_millis(250), 5);
    assert_eq!(bench.admission.state(), ServerState::Cold);
    assert_eq!(bench.limit(), COLD_SLOTS);
}

/// A backend server returns to service. Its limit starts at its cold slots and grows with its
/// answers.
#[test]
fn return_to_service() {
    let mut bench = Bench::new(ServerState::Warm);
    bench.advance(Duration::from_millis(300), 5);
    bench.advance(Duration::from_millis(100), 0);
    bench.step(AdmissionEvent::ServerRestored);
    assert_eq!(bench.limit(), COLD_SLOTS);
    bench.advance(Duration::from_millis(300), 5);
    assert_eq!(bench.limit(), SLOTS);
}
