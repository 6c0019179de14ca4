//! Admission limits the requests at a backend server to its capacity.

#![allow(clippy::unwrap_used)]

mod admission_bench;

use std::time::Duration;

use quetzalrack_core::cluster::ServerState;
use quetzalrack_core::document::spec::Priority;
use quetzalrack_core::traffic::admission::AdmissionEvent;
use quetzalrack_core::traffic::admission::Ticket;
use quetzalrack_core::traffic::refusal::RefusalCode;

use admission_bench::Bench;
use admission_bench::SERVICE_TIME;
use admission_bench::SLOTS;

/// A straggler is as slow as a cold backend server, but at any load. It keeps its slots, because no
/// other backend server may serve the keys that it owns.
#[test]
fn straggler_keeps_slots() {
    let mut bench = Bench::new(ServerState::Warm);
    bench.advance(Duration::from_millis(300), 5);
    bench.slowdown = 10;
    bench.advance(Duration::from_millis(1_000), 5);
    assert_eq!(bench.admission.state(), ServerState::Warm);
    assert!(bench.limit() >= SLOTS / 2, "limit {}", bench.limit());
    assert!(bench.admission.latency(bench.now) >= SERVICE_TIME * 9);
}

/// A slot is held until its request is known to have ended, even if the caller disconnected long
/// ago. A frozen backend server receives requests up to its limit and then no more.
#[test]
fn frozen_holds_slots() {
    let mut bench = Bench::new(ServerState::Warm);
    bench.advance(Duration::from_millis(300), 5);
    bench.slowdown = 1_000_000;
    bench.advance(Duration::from_millis(500), 5);
    let sent = bench.admitted.len();
    bench.advance(Duration::from_millis(2_000), 5);
    assert_eq!(bench.admitted.len(), sent);
    assert!(bench.admission.in_flight().0 <= SLOTS);
    assert!(bench.admission.latency(bench.now) > Duration::from_secs(2));
}

/// Twice as many requests arrive as can be served, half of them of low priority. Nearly all of high
/// priority are served, and most of low priority are shed.
#[test]
fn low_shed_first() {
    let mut bench = Bench::new(ServerState::Warm);
    bench.advance(Duration::from_millis(500), 5);
    let (mut high, mut low) = (Vec::new(), Vec::new());
    for _ in 0..500 {
        for _ in 0..3 {
            high.push(bench.arrive(Priority::High, Duration::from_millis(200)));
            low.push(bench.arrive(Priority::Low, Duration::from_millis(200)));
        }
        bench.advance(Duration::from_millis(1), 0);
    }
    let served = |tickets: &[Ticket]| {
        let count = tickets
            .iter()
            .filter(|ticket| bench.admitted.contains(ticket));
        count.count() as f64 / tickets.len() as f64
    };
    assert!(served(&high) > 0.97, "high {}", served(&high));
    assert!(served(&low) < 0.35, "low {}", served(&low));
}

/// A request that can't be answered before its deadline is refused and never sent.
#[test]
fn unmeetable_deadline() {
    let mut bench = Bench::new(ServerState::Warm);
    bench.advance(Duration::from_millis(300), 5);
    bench.slowdown = 100;
    bench.advance(Duration::from_millis(20), 5);
    let ticket = bench.arrive(Priority::High, Duration::from_millis(3));
    assert_eq!(bench.code(ticket), Some(RefusalCode::DeadlineNotRun));
    assert!(!bench.admitted.contains(&ticket));
    let waiting = bench.arrive(Priority::High, Duration::from_millis(40));
    bench.advance(Duration::from_millis(60), 0);
    assert_eq!(bench.code(waiting), Some(RefusalCode::DeadlineNotRun));
    assert!(!bench.admitted.contains(&waiting));
}

/// A backend server was too slow to meet any deadline and recovers. If its old latency still
/// counted, callers would be refused for ever although it is idle.
#[test]
fn recovered_server() {
    let mut bench = Bench::new(ServerState::Warm);
    bench.advance(Duration::from_millis(300), 5);
    bench.slowdown = 100;
    bench.advance(Duration::from_millis(2_000), 1);
    bench.slowdown = 1;
    bench.advance(Duration::from_millis(1_500), 1);
    let before = bench.refused.len();
    bench.advance(Duration::from_millis(200), 1);
    assert_eq!(bench.refused.len(), before);
}

/// A waiting request that is cancelled leaves the queue.
#[test]
fn cancelled_request() {
    let mut bench = Bench::new(ServerState::Cold);
    let tickets: Vec<Ticket> = (0..4)
        .map(|_| bench.arrive(Priority::High, Duration::from_secs(1)))
        .collect();
    assert_eq!(bench.admission.waiting(), 2);
    bench.step(AdmissionEvent::Cancelled(tickets[2]));
    bench.advance(Duration::from_millis(20), 0);
    assert!(!bench.admitted.contains(&tickets[2]));
    assert!(bench.admitted.contains(&tickets[3]));
}
