//! Retries.
//!
//! They are designed for a service whose servers fail or refuse some of their requests, or all of
//! them at once; each retry adds load to the remaining servers.

mod retry_budget;

pub use retry_budget::RetryBudget;
