//! The parts of a heartbeat that the holder does not know.

use crate::cluster::RoutingVersion;
use crate::ownership::Ballot;

/// The fields of a heartbeat that come from the voter and the routing table.
#[derive(Clone, Copy, Debug)]
pub(in crate::ownership::machine) struct HeartbeatContext {
    /// The adopted ballot.
    pub(in crate::ownership::machine) ballot: Ballot,
    /// The acknowledged round; none while the node abstains.
    pub(in crate::ownership::machine) acked: Option<u64>,
    /// The last round received.
    pub(in crate::ownership::machine) round: u64,
    /// The version of the node's routing table.
    pub(in crate::ownership::machine) routing: RoutingVersion,
}
