//! The node: a process beside each backend server that proxies requests to and from it, holds
//! leases for its slices and, when chosen, is the controller of its cluster.
//!
//! One thread runs the control state machines, other threads carry traffic; they share only the
//! state in [`shared`]. See `docs/ARCHITECTURE.md`.

pub mod admin;
pub mod calls;
pub mod command;
pub mod control;
pub mod meters;
pub mod metrics;
pub mod node;
pub mod platform;
mod server_calls;
pub mod settings;
pub mod shared;
pub mod traffic;

pub use node::Node;
pub use node::RunningNode;
