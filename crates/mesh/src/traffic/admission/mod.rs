//! Which requests go to the backend server beside the node, and when.
//!
//! Load pattern: bursts of up to twice what the server can do, its own host slowing it down for
//! tenths of a second, cold starts in which it bears a few requests a second, and calls of other
//! servers whose parents fail with them.

mod admission_machine;
mod admission_rates;
mod admission_request;
mod cold_rate;
mod cold_start_limiter;
mod forecast;
mod response_sample;
mod service_times;
mod wait_queue;

pub use admission_machine::Admission;
pub use admission_machine::AdmissionAction;
pub use admission_request::AdmissionRequest;
pub use admission_request::Ticket;
pub use cold_rate::ColdRate;
pub use cold_start_limiter::ColdStartLimiter;
pub use response_sample::ResponseSample;
