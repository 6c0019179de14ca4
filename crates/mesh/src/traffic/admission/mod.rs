//! Admission control for the local backend server: which requests it gets, and when.
//!
//! It is designed for bursts of up to twice the server's capacity, hosts that slow their server down
//! for tenths of a second, cold starts in which a server handles a few requests per second, and
//! calls from other servers whose own requests fail with them.

mod admission_machine;
mod admission_rates;
mod admission_request;
mod cold_rate;
mod cold_start_limiter;
mod forecast;
mod late_allowance;
mod rate_limiter;
mod response_sample;
mod server_limit;
mod service_times;
mod wait_queue;

pub use admission_machine::Admission;
pub use admission_machine::AdmissionAction;
pub use admission_request::AdmissionRequest;
pub use admission_request::Ticket;
pub use cold_rate::ColdRate;
pub use cold_start_limiter::ColdStartLimiter;
pub use response_sample::ResponseSample;
pub use server_limit::ServerLimit;
