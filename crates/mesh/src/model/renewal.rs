//! What a node answers to its backend server's heartbeat.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use super::Handover;
use super::HeldRange;

/// Is one range of a renewal.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct GrantedRange {
    /// The keys and their token.
    pub held: HeldRange,
    /// The last holder's handover token, if it left one.
    pub handover: Option<Handover>,
}

/// Tells a backend server everything that it is to hold from now on, and how long.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Renewal {
    /// All of its ranges; what is left out is to be released.
    pub ranges: Vec<GrantedRange>,
    /// How long it may hold them, counted from when it sent the heartbeat.
    pub time: Duration,
}
