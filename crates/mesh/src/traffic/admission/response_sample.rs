//! A response of the backend server.

use std::time::Duration;

use quetzalrack_core::ids::RouteName;

/// What admission control records of a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResponseSample<'a> {
    /// The request's route.
    pub route: &'a RouteName,
    /// How long the server took.
    pub service_time: Duration,
    /// The length of the response.
    pub bytes: usize,
}
