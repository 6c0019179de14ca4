//! A small whole environment with callers, for system tests.

mod steady_load;
mod system_trial;
mod timed_report;

pub use steady_load::SteadyLoad;
pub use system_trial::SystemTrial;
pub use timed_report::TimedReport;
