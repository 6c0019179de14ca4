//! Starting and stopping a node with its threads.

mod node_options;
mod run_error;
mod running_node;

pub use node_options::NodeOptions;
pub use run_error::RunError;
pub use running_node::RunningNode;
