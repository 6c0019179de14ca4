//! Which requests go to the backend server beside the node, and when.
//!
//! Load pattern: bursts of up to twice what the server can do, its own host slowing it down for
//! tenths of a second, cold starts in which it bears a few requests a second, and calls of other
//! servers whose parents fail with them.

mod admission_machine;
mod answered;
mod cold_gate;
mod cold_rate;
mod forecast;
mod job;
mod line;
mod pace;
mod start_rates;

pub use admission_machine::Admission;
pub use admission_machine::AdmissionAction;
pub use answered::Answered;
pub use cold_gate::ColdGate;
pub use cold_rate::ColdRate;
pub use job::Job;
pub use job::Ticket;
