//! A request that holds a slot.

use crate::ids::RouteName;
use crate::time::Moment;

/// Records when a request was admitted, and how many were in flight then.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdmittedRequest {
    /// Its route.
    pub route: RouteName,
    /// When it was admitted.
    pub admitted_at: Moment,
    /// How many were in flight, itself included.
    pub in_flight: u32,
}
