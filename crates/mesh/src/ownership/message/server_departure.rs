//! What nodes tell each other of backend servers that leave.

use quetzalrack_core::ids::NodeName;
use serde::Deserialize;
use serde::Serialize;

use super::DepartureState;
use crate::model::ServerIncarnation;

/// The departure of one incarnation of a backend server, as it announced it to the node beside it.
///
/// Nodes keep each other's, so that the acknowledgement binds the node's next process too; see
/// `docs/design/platform.md`.
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
