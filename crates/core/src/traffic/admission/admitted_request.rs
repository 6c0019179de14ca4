//! The beginning of an admitted request.

use crate::ids::RouteName;
use crate::time::Moment;

/// Says when a request was admitted, and how many were in flight with it then.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdmittedRequest {
    /// Its route.
    pub route: RouteName,
    /// When it was admitted.
    pub at: Moment,
    /// How many were in flight, itself included.
    pub busy: u32,
}
