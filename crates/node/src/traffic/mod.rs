//! The path of a request: ingress, the hop between nodes, egress, the backend server.
//!
//! It runs on its own threads and reads the views in [`crate::shared`]. The decisions are made in
//! [`quetzalrack_core::traffic`]. See `docs/design/traffic.md`.

mod config;
mod counters;
mod egress;
mod error;
mod hop;
mod ingress;
mod payload;
mod refusal;
mod running_traffic;
mod server;
mod suspects;
mod traffic_control;
mod traffic_core;

pub use config::TrafficConfig;
pub use error::TrafficError;
pub use running_traffic::RunningTraffic;
pub use running_traffic::Traffic;
