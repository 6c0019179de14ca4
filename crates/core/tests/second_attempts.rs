//! Second attempts never feed an overload.

use std::time::Duration;

use quetzalrack_core::time::Moment;
use quetzalrack_core::traffic::retry::HedgePolicy;
use quetzalrack_core::traffic::retry::RetryBudget;

/// Every one of 10,000 requests is refused and asks for a retry: only what was saved before the
/// storm is spent.
#[test]
fn retry_storm() {
    let mut budget = RetryBudget::default();
    let granted = (0..10_000).filter(|_| budget.withdraw()).count();
    assert!(granted <= 20, "{granted}");
}

/// Half of all requests fail and are retried: retries stay at a tenth of the answered ones.
#[test]
fn bounded_share() {
    let mut budget = RetryBudget::default();
    let mut retries = 0;
    for _ in 0..10_000 {
        budget.deposit();
        retries += u32::from(budget.withdraw());
    }
    assert!(retries <= 1_020, "{retries}");
    assert!(retries >= 900, "{retries}");
}

/// A hedge waits for the recent 95th percentile, and there is none while little is known.
#[test]
fn hedge_wait() {
    let mut policy = HedgePolicy::default();
    let now = Moment(1_000_000_000);
    assert_eq!(policy.delay(), None);
    for each in 1..=100 {
        policy.record(now, Duration::from_millis(each));
    }
    assert_eq!(policy.delay(), Some(Duration::from_millis(95)));
}
