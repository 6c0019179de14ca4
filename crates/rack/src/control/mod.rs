//! The thread that runs the control state machine, and what it reaches: the store, other nodes'
//! datagrams, the backend server's heartbeats, and the platform's question for readiness.

mod control_loop;
mod http_port;
mod intent_reader;
mod key_calls;
mod peer_intent;
mod running;
mod server_port;
mod store_calls;

pub use control_loop::ControlNode;
pub use control_loop::ControlSettings;
