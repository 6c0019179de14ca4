//! Fakes of the node's external dependencies, and nodes that run in the test's own process.
#![allow(dead_code, unused_imports, clippy::unwrap_used)]

mod granting_backend;
mod memory_log;
mod orders;
mod test_nodes;

pub use granting_backend::GrantingBackend;
pub use memory_log::MemoryLog;
pub use orders::publish_andina;
pub use orders::zone_out;
pub use orders::zone_out_record;
pub use test_nodes::SECRET;
pub use test_nodes::announce;
pub use test_nodes::keys;
pub use test_nodes::settings;
pub use test_nodes::spawn_node;
pub use test_nodes::status_of;
