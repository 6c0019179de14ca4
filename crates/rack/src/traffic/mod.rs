//! Carries requests from clients to the node that serves them, and from there to its backend
//! server.

pub(crate) mod body;
mod egress;
mod hop;
mod ingress;
mod job;
mod outcome;
mod suspects;
mod traffic_node;
mod usage_watch;
pub(crate) mod wire;

pub(crate) use hop::INTENT_PATH;
pub use traffic_node::TrafficNode;
pub use traffic_node::TrafficSettings;
