//! What a node grants to the backend server beside it.

mod heartbeat_answer;
mod lease;
mod server_watch;

pub use heartbeat_answer::HeartbeatAnswer;
pub(super) use lease::Lease;
pub(super) use server_watch::ServerWatch;
