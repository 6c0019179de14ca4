//! Admission keeps every backend server within what it bears.

#![allow(clippy::unwrap_used)]

mod admission_bench;

use std::time::Duration;

use quetzalrack_core::cluster::ServerState;
use quetzalrack_core::document::spec::Priority;
use quetzalrack_core::traffic::admission::AdmissionEvent;
use quetzalrack_core::traffic::admission::Ticket;
use quetzalrack_core::traffic::refusal::RefusalCode;

use admission_bench::ANSWER;
use admission_bench::Bench;
use admission_bench::SLOTS;

/// A straggler is as slow as a cold one, but at any load: it keeps its slots, because the keys it
/// owns have nowhere else to go.
#[test]
fn straggler_keeps_slots() {
    let mut bench = Bench::new(ServerState::Warm);
    bench.pass(Duration::from_millis(300), 5);
    bench.slowness = 10;
    bench.pass(Duration::from_millis(1_000), 5);
    assert_eq!(bench.admission.state(), ServerState::Warm);
    assert!(bench.limit() >= SLOTS / 2, "limit {}", bench.limit());
    assert!(bench.admission.latency(bench.now) >= ANSWER * 9);
}

/// A slot is held until its request has surely ended, however long its caller has been gone: a
/// frozen backend server fills its limit once and gets nothing more.
#[test]
fn frozen_holds_slots() {
    let mut bench = Bench::new(ServerState::Warm);
    bench.pass(Duration::from_millis(300), 5);
    bench.slowness = 1_000_000;
    bench.pass(Duration::from_millis(500), 5);
    let sent = bench.admitted.len();
    bench.pass(Duration::from_millis(2_000), 5);
    assert_eq!(bench.admitted.len(), sent);
    assert!(bench.admission.in_flight().0 <= SLOTS);
    assert!(bench.admission.latency(bench.now) > Duration::from_secs(2));
}

/// Twice as much arrives as is served, half of it of low priority: the high half is served almost
/// whole, the low half is shed.
#[test]
fn low_shed_first() {
    let mut bench = Bench::new(ServerState::Warm);
    bench.pass(Duration::from_millis(500), 5);
    let (mut high, mut low) = (Vec::new(), Vec::new());
    for _ in 0..500 {
        for _ in 0..3 {
            high.push(bench.arrive(Priority::High, Duration::from_millis(200)));
            low.push(bench.arrive(Priority::Low, Duration::from_millis(200)));
        }
        bench.pass(Duration::from_millis(1), 0);
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

/// What can't be answered before its deadline is refused at once, and was never sent.
#[test]
fn hopeless_dropped() {
    let mut bench = Bench::new(ServerState::Warm);
    bench.pass(Duration::from_millis(300), 5);
    bench.slowness = 100;
    bench.pass(Duration::from_millis(20), 5);
    let ticket = bench.arrive(Priority::High, Duration::from_millis(3));
    assert_eq!(bench.code(ticket), Some(RefusalCode::DeadlineNotRun));
    assert!(!bench.admitted.contains(&ticket));
    let waiting = bench.arrive(Priority::High, Duration::from_millis(40));
    bench.pass(Duration::from_millis(60), 0);
    assert_eq!(bench.code(waiting), Some(RefusalCode::DeadlineNotRun));
    assert!(!bench.admitted.contains(&waiting));
}

/// A backend server was so slow that no deadline could be met, and recovers. Its old latency must
/// not keep it shut out: callers would be refused for ever although it is idle.
#[test]
fn slow_then_served() {
    let mut bench = Bench::new(ServerState::Warm);
    bench.pass(Duration::from_millis(300), 5);
    bench.slowness = 100;
    bench.pass(Duration::from_millis(2_000), 1);
    bench.slowness = 1;
    bench.pass(Duration::from_millis(1_500), 1);
    let before = bench.refused.len();
    bench.pass(Duration::from_millis(200), 1);
    assert_eq!(bench.refused.len(), before);
}

/// A waiting caller that goes away leaves the line.
#[test]
fn withdrawn_leaves() {
    let mut bench = Bench::new(ServerState::Cold);
    let tickets: Vec<Ticket> = (0..4)
        .map(|_| bench.arrive(Priority::High, Duration::from_secs(1)))
        .collect();
    assert_eq!(bench.admission.waiting(), 2);
    bench.step(AdmissionEvent::Cancelled(tickets[2]));
    bench.pass(Duration::from_millis(20), 0);
    assert!(!bench.admitted.contains(&tickets[2]));
    assert!(bench.admitted.contains(&tickets[3]));
}
