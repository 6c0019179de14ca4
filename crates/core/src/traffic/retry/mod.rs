//! Retries, hedges and the budget that bounds both.

mod hedge_policy;
mod latency_window;
mod retry_budget;

pub use hedge_policy::HedgePolicy;
pub use latency_window::LatencyWindow;
pub use retry_budget::RetryBudget;
