//! A request that asks for a slot.

use super::Ticket;
use crate::document::spec::Priority;
use crate::ids::RouteName;
use crate::time::Moment;

/// What admission control needs to know of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdmissionRequest {
    /// Its ticket.
    pub ticket: Ticket,
    /// Its route, whose requests take about the same time.
    pub route: RouteName,
    /// Its route's priority.
    pub priority: Priority,
    /// When its caller stops waiting.
    pub deadline: Moment,
}
