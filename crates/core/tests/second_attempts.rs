//! Retries and hedges are bounded, so that they don't add to an overload.

use std::time::Duration;

use quetzalrack_core::time::Moment;
use quetzalrack_core::traffic::retry::HedgePolicy;
use quetzalrack_core::traffic::retry::RetryBudget;

/// All of 10,000 requests are refused and ask for a retry: only the balance from before them is
/// spent.
#[test]
fn retry_storm() {
    let mut budget = RetryBudget::default();
    let granted = (0..10_000).filter(|_| budget.withdraw()).count();
    assert!(granted <= 20, "{granted}");
}

/// Half of all attempts fail and are retried: retries stay at a tenth of the answered requests.
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

/// A hedge waits for the recent 95th percentile; without enough samples there is no hedge.
#[test]
fn hedge_wait() {
    let mut policy = HedgePolicy::default();
    let now = Moment(1_000_000_000);
    assert_eq!(policy.delay(), None);
    for milliseconds in 1..=100 {
        policy.record(now, Duration::from_millis(milliseconds));
    }
    assert_eq!(policy.delay(), Some(Duration::from_millis(95)));
}
