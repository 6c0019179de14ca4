//! Datagrams between nodes.

mod acknowledgement;
mod answer;
mod controller_announcement;
mod controller_query;
mod controller_status;
mod drain;
mod echo;
mod grant;
mod heartbeat;
mod key_rate;
mod lease_report;
mod load_report;
mod probe;
mod profile;
mod routing_change;
mod routing_delta;
mod updates;

pub use acknowledgement::Acknowledgement;
pub use answer::Answer;
pub use controller_announcement::ControllerAnnouncement;
pub use controller_query::ControllerQuery;
pub use controller_status::ControllerStatus;
pub use drain::Drain;
pub use echo::Echo;
pub use grant::Grant;
pub use heartbeat::Heartbeat;
pub use key_rate::KeyRate;
pub use lease_report::LeaseReport;
pub use load_report::LoadReport;
pub use probe::Probe;
pub use profile::Profile;
pub use routing_change::RoutingChange;
pub use routing_delta::RoutingDelta;
pub use updates::Updates;

use serde::Deserialize;
use serde::Serialize;

use super::Ballot;

/// A datagram between nodes.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum PeerMessage {
    /// A controller announces its ballot to a node.
    ControllerAnnouncement(Box<ControllerAnnouncement>),
    /// A node reports to the controller that it is alive and which leases it holds.
    Heartbeat(Box<Heartbeat>),
    /// The controller answers one heartbeat.
    Answer(Box<Answer>),
    /// A voter acknowledges a round of the controller.
    Acknowledgement(Acknowledgement),
    /// A node asks another node which controller it follows.
    ControllerQuery(ControllerQuery),
    /// A node replies with the controller that it follows.
    ControllerStatus(Box<ControllerStatus>),
    /// The controller pushes changes to the routing table between two heartbeats.
    Routing(Box<RoutingDelta>),
    /// A controller resigns, so that the next deputy takes over without waiting.
    Resign(Ballot),
    /// A node that is about to become controller or claim a term asks a voter for an echo.
    Probe(Probe),
    /// A voter replies to a probe.
    Echo(Echo),
}
