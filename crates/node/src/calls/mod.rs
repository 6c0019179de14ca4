//! Calls between nodes: intent for a node that can't read the log, a node's identity, and the
//! idempotency state of a slice that moves.

mod call_client;
mod call_server;
mod intent_query;
mod peer_call_error;
mod running_calls;

pub use call_client::CallClient;
pub use call_server::CallServer;
pub use intent_query::IntentQuery;
pub use peer_call_error::PeerCallError;
pub use running_calls::RunningCalls;
