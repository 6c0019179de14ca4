//! What nodes know of each other: announcements, leases and the routing table.

mod announcement;
mod lease;
mod lease_table;
mod member;
mod routing_node;
mod routing_table;
mod routing_version;
mod server_state;
mod service_slices;

pub use announcement::Announcement;
pub use lease::Lease;
pub use lease_table::LeaseTable;
pub use member::Member;
pub use routing_node::RoutingNode;
pub use routing_table::RoutingTable;
pub use routing_version::RoutingVersion;
pub use server_state::ServerState;
pub use service_slices::ServiceSlices;
