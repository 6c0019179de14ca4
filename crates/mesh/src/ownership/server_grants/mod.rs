//! Grants of keys to the node's backend server.

mod call_grants;
mod heartbeat_answer;
mod incarnation_order;
mod key_call;
mod key_call_outcome;
mod key_request;
mod lease;
mod server_calls;
mod server_tracker;

use call_grants::CallGrants;
pub use heartbeat_answer::HeartbeatAnswer;
pub use key_call::KeyCall;
pub use key_call::KeyCallId;
pub use key_call_outcome::KeyCallOutcome;
pub use key_request::KeyRequest;
pub(super) use lease::Lease;
pub(super) use server_tracker::ServerTracker;
