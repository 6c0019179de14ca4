//! Counting outcomes and adding the counts of many processes.

use std::time::Duration;

use quetzalrack_core::burn::RequestOutcome;
use quetzalrack_core::burn::RouteCounts;

fn counted(outcomes: &[(RequestOutcome, u64)]) -> RouteCounts {
    let mut counts = RouteCounts::default();
    for (outcome, milliseconds) in outcomes {
        counts.record(*outcome, Duration::from_millis(*milliseconds));
    }
    counts
}

#[test]
fn outcome_counts() {
    let counts = counted(&[
        (RequestOutcome::Served, 10),
        (RequestOutcome::Late, 900),
        (RequestOutcome::Refused, 1),
        (RequestOutcome::Unknown, 1),
        (RequestOutcome::Failed, 1),
    ]);
    assert_eq!(counts.total(), 5);
    assert_eq!(counts.faults(), 4);
    assert_eq!(counts.latency.count(), 2);
}

#[test]
fn merged_counts() {
    let mut sum = counted(&[(RequestOutcome::Served, 10)]);
    sum.merge(&counted(&[
        (RequestOutcome::Served, 30),
        (RequestOutcome::Failed, 5),
    ]));
    assert_eq!(sum.served, 2);
    assert_eq!(sum.failed, 1);
    let slowest = sum.latency.quantile(1.0);
    assert!(slowest >= Duration::from_micros(29_700) && slowest <= Duration::from_micros(30_300));
}

#[test]
fn later_counts() {
    let earlier = counted(&[(RequestOutcome::Served, 10)]);
    let mut later = earlier.clone();
    later.record(RequestOutcome::Late, Duration::from_secs(3));
    let difference = later.since(&earlier);
    assert_eq!(difference.total(), 1);
    assert_eq!(difference.late, 1);
    assert!(difference.latency.quantile(0.0) > Duration::from_secs(2));
}

#[test]
fn counts_text() {
    let counts = counted(&[(RequestOutcome::Served, 10), (RequestOutcome::Late, 900)]);
    let text = serde_json::to_string(&counts).unwrap();
    assert_eq!(serde_json::from_str::<RouteCounts>(&text).unwrap(), counts);
    let broken = text.replace("\"latency\":\"", "\"latency\":\"00");
    assert!(serde_json::from_str::<RouteCounts>(&broken).is_err());
}

#[test]
fn maximal_latency() {
    let mut counts = RouteCounts::default();
    counts.record(RequestOutcome::Late, Duration::MAX);
    assert_eq!(counts.latency.count(), 1);
}
