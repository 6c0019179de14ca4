//! A whole node: its threads, its end.

mod run_error;
mod running_node;

pub use run_error::RunError;
pub use running_node::RunningNode;
