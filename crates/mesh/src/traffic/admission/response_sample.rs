//! An answer of the backend server.

use std::time::Duration;

use quetzalrack_core::ids::RouteName;

/// Is what admission learns from an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResponseSample<'a> {
    /// The request's route.
    pub route: &'a RouteName,
    /// How long the server took.
    pub service_time: Duration,
    /// How long the answer is, in bytes.
    pub bytes: usize,
}
