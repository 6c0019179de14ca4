//! The log: JSON lines on stdout, written by a dedicated thread.

mod limits;
mod line_writer;

pub use limits::LineLimits;
pub use line_writer::LogHandle;
pub use line_writer::start_logging;
