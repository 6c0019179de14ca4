//! A backend server in cold start gets no more work than it bears.

#![allow(clippy::unwrap_used)]

mod admission_bench;

use std::time::Duration;

use quetzalrack_core::cluster::ServerState;
use quetzalrack_core::traffic::admission::AdmissionEvent;

use admission_bench::Bench;
use admission_bench::COLD;
use admission_bench::SLOTS;

/// A backend server starts cold and is offered twenty times what it bears. It never gets more than
/// its cold bound until it has warmed up, then its limit grows to its slots.
#[test]
fn cold_start() {
    let mut bench = Bench::new(ServerState::Cold);
    bench.pass(Duration::from_millis(300), 5);
    assert_eq!(bench.most, COLD);
    bench.announce(1, ServerState::Warm);
    bench.pass(Duration::from_millis(150), 5);
    assert_eq!(
        bench.most, COLD,
        "its word alone does not end the cold start"
    );
    bench.pass(Duration::from_millis(400), 5);
    assert_eq!(bench.limit(), SLOTS);
}

/// It restarts while warm: the new life starts at the cold bound, and what ran in the old life
/// holds no slot any more.
#[test]
fn new_life() {
    let mut bench = Bench::new(ServerState::Warm);
    bench.pass(Duration::from_millis(300), 5);
    assert_eq!(bench.limit(), SLOTS);
    let old = bench.running.clone();
    bench.running.clear();
    bench.most = 0;
    bench.announce(2, ServerState::Cold);
    assert_eq!(bench.limit(), COLD);
    assert!(bench.admission.in_flight().0 <= COLD);
    let (ticket, _, end) = old[0];
    let before = bench.admission.in_flight();
    bench.step(AdmissionEvent::Ended {
        ticket,
        outcome: end,
    });
    assert_eq!(
        bench.admission.in_flight(),
        before,
        "an old life's end frees nothing"
    );
}

/// It turns cold without a word and sheds above three times its bound. Its neighbour sees the
/// first refusals and goes down to the cold bound within a few milliseconds.
#[test]
fn silent_cold_sheds() {
    let mut bench = Bench::new(ServerState::Warm);
    bench.pass(Duration::from_millis(300), 5);
    bench.bears = COLD;
    bench.pass(Duration::from_millis(60), 5);
    assert_eq!(bench.limit(), COLD);
    assert_eq!(bench.admission.state(), ServerState::Cold);
    bench.pass(Duration::from_millis(100), 5);
    bench.most = 0;
    bench.pass(Duration::from_millis(300), 5);
    assert_eq!(bench.most, COLD);
}

/// It turns cold without a word under a load at which it is only slow, not shedding. The test at
/// the cold bound finds it quick there, so it is cold and no straggler.
#[test]
fn silent_cold_slow() {
    let mut bench = Bench::new(ServerState::Warm);
    bench.pass(Duration::from_millis(300), 5);
    bench.pass(Duration::from_millis(100), 0);
    bench.keep_busy(Duration::from_millis(300), 5);
    bench.bears = COLD;
    bench.keep_busy(Duration::from_millis(250), 5);
    assert_eq!(bench.admission.state(), ServerState::Cold);
    assert_eq!(bench.limit(), COLD);
}

/// A backend server comes back into service after it was out: it starts at its cold bound, and its
/// answers let the limit grow.
#[test]
fn slow_return() {
    let mut bench = Bench::new(ServerState::Warm);
    bench.pass(Duration::from_millis(300), 5);
    bench.pass(Duration::from_millis(100), 0);
    bench.step(AdmissionEvent::ServerRestored);
    assert_eq!(bench.limit(), COLD);
    bench.pass(Duration::from_millis(300), 5);
    assert_eq!(bench.limit(), SLOTS);
}
