//! Our own binaries as processes: started, watched, paused and ended by id.

mod process_error;
mod process_output;
mod process_usage;
mod program;
mod running_process;

pub use process_error::ProcessError;
pub use process_output::ProcessOutput;
pub use process_usage::ProcessUsage;
pub use program::Program;
pub use running_process::RunningProcess;
