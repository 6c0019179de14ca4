//! Admission control for the local backend server: how many requests at once, and which first.
//!
//! A backend server gets requests only through its node, so the node enforces every limit alone,
//! without coordination; see `docs/design/traffic.md`.

mod admission_action;
mod admission_event;
mod admission_machine;
mod admission_request;
mod admitted_request;
mod attempt_outcome;
mod baseline_latency;
mod concurrency_limiter;
mod recent_outcomes;
mod server_profile;
mod ticket;
mod wait_queue;

pub use admission_action::AdmissionAction;
pub use admission_event::AdmissionEvent;
pub use admission_machine::Admission;
pub use admission_request::AdmissionRequest;
pub use admitted_request::AdmittedRequest;
pub use attempt_outcome::AttemptOutcome;
pub use concurrency_limiter::ConcurrencyLimiter;
pub use server_profile::ServerProfile;
pub use ticket::Ticket;
pub use wait_queue::WaitQueue;
