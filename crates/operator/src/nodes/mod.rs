//! Asking nodes over their admin addresses.

mod fleet_status;
mod node_access;
mod node_error;
mod node_reader;
mod node_state;

pub use fleet_status::FleetStatus;
pub use node_access::NodeAccess;
pub use node_error::NodeError;
pub use node_reader::NodeReader;
pub use node_state::NodeState;
