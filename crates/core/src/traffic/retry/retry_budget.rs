//! The budget of retries and hedges.

/// What one response adds: retries and hedges are at most a tenth of the requests with responses.
const DEPOSIT: f64 = 0.1;
/// The highest balance, so that a quiet hour does not pay for a burst of retries.
const MAX_BALANCE: f64 = 20.0;

/// Bounds retries and hedges together by a share of the requests that got a response.
///
/// Without it an overloaded service would collapse, because each refusal would cause more load
/// than it avoided. With it, the load of retries and hedges falls with the number of responses.
#[derive(Clone, Debug, PartialEq)]
pub struct RetryBudget {
    balance: f64,
}

impl Default for RetryBudget {
    /// Creates a budget with the highest balance, so that the first failures after a start are
    /// retried.
    fn default() -> Self {
        Self {
            balance: MAX_BALANCE,
        }
    }
}

impl RetryBudget {
    /// Adds the share of one request that got a response.
    pub fn deposit(&mut self) {
        self.balance = (self.balance + DEPOSIT).min(MAX_BALANCE);
    }

    /// Withdraws one retry or hedge; returns false if the balance is too low.
    pub fn withdraw(&mut self) -> bool {
        if self.balance < 1.0 {
            return false;
        }
        self.balance -= 1.0;
        true
    }
}
