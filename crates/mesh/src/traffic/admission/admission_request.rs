//! A request that asks for a slot.

use quetzalrack_core::ids::RouteName;
use quetzalrack_core::time::Moment;

/// Identifies a request at one node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// What admission control needs to know of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdmissionRequest {
    /// Its ticket.
    pub ticket: Ticket,
    /// Its route; requests of one route take about the same time.
    pub route: RouteName,
    /// Its rank; 0 goes first.
    pub rank: u32,
    /// Until when a response meets the objective.
    pub objective: Moment,
    /// When its caller stops waiting.
    pub deadline: Moment,
}
