//! What nodes tell each other of backend servers that leave.

use quetzalrack_core::ids::NodeName;
use serde::Deserialize;
use serde::Serialize;

use super::DepartureState;
use crate::model::ServerIncarnation;

/// The departure of one incarnation of a backend server, as it announced it to the node beside it.
///
/// The leader writes it to its record in the store before it is acknowledged, so that the acknowledgement binds
/// every later process; see `docs/design/platform.md`.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct ServerDeparture {
    /// The node beside the server.
    pub node: NodeName,
    /// The server and its incarnation.
    pub incarnation: ServerIncarnation,
    /// How far the departure has come.
    pub state: DepartureState,
}

impl ServerDeparture {
    /// Tells whether this departure of the same node's server says everything that the other one does. One of
    /// a later incarnation does, since the earlier one has ended then.
    pub fn covers(&self, other: &Self) -> bool {
        let (own, others) = (&self.incarnation, &other.incarnation);
        match own == others {
            true => self.state >= other.state,
            false => own.started_ms > others.started_ms,
        }
    }

    /// Tells whether a heartbeat of this incarnation says nothing new: it was sent before the departure was
    /// announced, or by an incarnation that had ended by then.
    pub fn is_after(&self, incarnation: &ServerIncarnation, sequence: u64) -> bool {
        match self.incarnation == *incarnation {
            true => self.state.is_later_than(sequence),
            false => incarnation.started_ms < self.incarnation.started_ms,
        }
    }
}
