//! Admission, load balancing and retries of requests.

pub mod admission;
pub mod balancing;
pub mod budget;
mod key_counter;
pub mod link;
pub mod notices;
mod owner_hint;
pub mod owner_wait;
mod refusal_reason;
pub mod retry;
mod shutdown_times;
pub mod suspects;

pub use key_counter::KeyCounter;
pub use owner_hint::OwnerHint;
pub use owner_hint::ParseOwnerHintError;
pub use refusal_reason::RefusalReason;
pub use shutdown_times::ShutdownTimes;
