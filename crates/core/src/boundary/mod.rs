//! Traits for all external dependencies: the log, peers, the backend server and the clock.
//!
//! The node has the real implementations, the tests small fakes, and benches their own.

mod append_outcome;
mod backend_control;
mod clock;
mod grant_order;
mod grant_outcome;
mod log_entry;
mod log_service;
mod peer_link;
mod read_outcome;
mod stream;

pub use append_outcome::AppendOutcome;
pub use backend_control::BackendControl;
pub use clock::Clock;
pub use grant_order::GrantOrder;
pub use grant_outcome::GrantOutcome;
pub use log_entry::LogEntry;
pub use log_service::LogService;
pub use peer_link::PeerLink;
pub use read_outcome::ReadOutcome;
pub use stream::Stream;

use std::pin::Pin;

/// Is a boxed future, which lets the traits be used as trait objects.
pub type BoxFuture<'a, T> = Pin<Box<dyn Future<Output = T> + Send + 'a>>;
