//! A seeded simulation of a cluster around the ownership state machine.

mod checker;
mod cluster;
mod cluster_faults;
mod cluster_network;
mod cluster_view;
mod delivery;
mod fake_log;
mod fake_node;
mod faults;
mod layout;
mod schedule;
mod step;
mod traffic_count;

pub use checker::Checker;
pub use cluster::Cluster;
pub use delivery::Delivery;
pub use fake_log::FakeLog;
pub use fake_node::FakeNode;
pub use faults::Faults;
pub use layout::Layout;
pub use schedule::Schedule;
pub use step::Step;
pub use traffic_count::TrafficCount;
