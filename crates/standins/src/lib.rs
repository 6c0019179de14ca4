//! Small stand-ins for what the platform gives: the log service and a backend server.
//!
//! Both fail on request (`PUT /faults`) and both count what they truly did (`GET /truth`), so that
//! a test asks them for the truth and not the system under test. `docs/PROTOCOLS.md` describes
//! the calls.

pub mod backend;
pub mod log_service;
pub mod process;
