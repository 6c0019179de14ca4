//! A node as a whole: binding, starting and stopping its parts.

mod bind_parts;
mod bind_traffic;
mod find_peers;
mod node_handle;
mod node_shutdown;
mod open_node;
mod run_error;
mod running_node;
mod service_thread;
mod spawn_error;

pub use node_handle::NodeHandle;
pub use open_node::Node;
pub use run_error::RunError;
pub use running_node::RunningNode;
pub use spawn_error::SpawnError;
