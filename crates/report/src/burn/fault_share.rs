//! Which fault spent the budget.

use quetzalrack_core::burn::RequestOutcome;
use serde::Serialize;

/// Counts one kind of fault.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Serialize)]
pub struct FaultShare {
    /// The kind.
    pub fault: RequestOutcome,
    /// How many requests had it.
    pub count: u64,
    /// Its share of all faults, from 0 to 1.
    pub share: f64,
}
