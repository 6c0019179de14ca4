//! The thread that runs the control state machine, with its I/O: the store, datagrams between nodes,
//! the backend server's heartbeats and the platform's readiness check.

mod control_loop;
mod control_runner;
mod http_port;
mod intent_reader;
mod key_calls;
mod peer_intent_client;
mod server_port;
mod store_calls;

pub use control_loop::ControlNode;
pub use control_loop::ControlSettings;
