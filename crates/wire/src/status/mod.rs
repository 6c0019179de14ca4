//! What a node tells operators about itself, as JSON over its admin address.

mod controller_status;
mod cost_status;
mod intent_status;
mod lease_status;
mod listening_line;
mod node_status;

pub use controller_status::ControllerStatus;
pub use cost_status::CostStatus;
pub use intent_status::IntentStatus;
pub use lease_status::LeaseStatus;
pub use listening_line::ListeningLine;
pub use node_status::NodeStatus;
