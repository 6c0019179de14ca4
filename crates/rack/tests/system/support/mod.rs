//! A small platform on loopback: a store, backend servers that send heartbeats, and the real
//! program beside each of them. Each test program uses a part of it.
#![allow(dead_code, unused_imports)]

mod called_keys;
mod node_process;
mod raw_connection;
mod stand_in_server;
mod stand_in_store;
mod texts;
mod truth;
mod world;

pub use called_keys::CallFault;
pub use node_process::Lines;
pub use node_process::NodeProcess;
pub use node_process::keep_logs;
pub use raw_connection::Anew;
pub use stand_in_server::ServerPlan;
pub use stand_in_server::StandInServer;
pub use stand_in_server::echo_of;
pub use stand_in_store::Door;
pub use stand_in_store::StandInStore;
pub use stand_in_store::StoreFaults;
pub use stand_in_store::TurnedAway;
pub use texts::config;
pub use texts::settings;
pub use truth::Truth;
pub use world::World;
