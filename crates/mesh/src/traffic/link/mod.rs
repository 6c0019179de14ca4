//! Sharing of a host's own network link.
//!
//! Responses of a hundred kilobytes may need more than a narrow link carries, next to short responses
//! for which another server's request waits. Bytes written to a full link lie in a queue that knows
//! neither rank nor deadline, so messages are queued here instead, where they can be ordered.

mod link_backlog;
mod link_budget;
mod link_queue;
mod response_sizes;

/// The share of the link that is used. The rest is for what is not counted here: headers of packets,
/// heartbeats and the backend server's own connections.
const USABLE_SHARE: f64 = 0.97;

pub use link_backlog::LinkBacklog;
pub use link_queue::LinkQueue;
pub use link_queue::MessageId;
pub use response_sizes::ResponseSizes;
