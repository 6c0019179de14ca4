//! Renewals that a node sends to its backend server in reply to a heartbeat.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use super::Handover;
use super::HeldRange;

/// A key range of a renewal.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct GrantedRange {
    /// The keys and their fencing token.
    pub held: HeldRange,
    /// The previous holder's handover token, if it returned one.
    pub handover: Option<Handover>,
}

/// All ranges that a backend server holds from now on, and for how long.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Renewal {
    /// All of its ranges. The server releases every range that is not listed.
    pub ranges: Vec<GrantedRange>,
    /// How long it may hold them, from when it sent the heartbeat.
    pub hold: Duration,
}
