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

/// Is one datagram between nodes.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum PeerMessage {
    /// A controller asserts its ballot.
    ControllerAnnouncement(Box<ControllerAnnouncement>),
    /// A node tells the controller that it lives and what it holds.
    Heartbeat(Box<Heartbeat>),
    /// The controller answers one heartbeat.
    Answer(Box<Answer>),
    /// A voter acknowledges a controller's message.
    Acknowledgement(Acknowledgement),
    /// A node asks another for the controller.
    ControllerQuery(ControllerQuery),
    /// A node tells which controller it adopted.
    ControllerStatus(Box<ControllerStatus>),
    /// The controller pushes a change of the routing table between two heartbeats.
    Routing(Box<RoutingDelta>),
    /// A controller leaves; the next deputy acts without waiting.
    Resign(Ballot),
    /// A node that would take an office asks a voter for an echo.
    Probe(Probe),
    /// A voter answers a probe.
    Echo(Echo),
}
