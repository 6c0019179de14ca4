//! How a host's own link is shared.
//!
//! Load pattern: answers of a hundred kilobytes that ask for more than a narrow link carries, beside
//! short answers for which another server's work waits. What is written to a full link lies in a
//! queue that knows neither rank nor deadline, so the queue is kept here, where it can be ordered.

mod link_backlog;
mod link_budget;
mod link_queue;
mod response_sizes;

/// The part of the link that is used. The rest is for what is not counted here: headers of packets,
/// heartbeats and the backend server's own connections.
const USED: f64 = 0.97;

pub use link_backlog::LinkBacklog;
pub use link_queue::LinkQueue;
pub use link_queue::MessageId;
pub use response_sizes::ResponseSizes;
