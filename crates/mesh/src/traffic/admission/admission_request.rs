//! A request that asks for its turn.

use quetzalrack_core::ids::RouteName;
use quetzalrack_core::time::Moment;

/// Names a request at one node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// Is what admission must know of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdmissionRequest {
    /// Its name here.
    pub ticket: Ticket,
    /// Its route; requests of one route take about the same time.
    pub route: RouteName,
    /// Its rank; 0 goes first.
    pub rank: u32,
    /// Until when an answer is worth most.
    pub objective: Moment,
    /// After this nobody waits for an answer.
    pub deadline: Moment,
}
