//! Second attempts.
//!
//! Load pattern: a service whose servers fail or refuse part of their requests, or all of them at
//! once; each second attempt is load on the ones that are left.

mod retry_budget;

pub use retry_budget::RetryBudget;
