//! Open-loop load and experiments against real processes.
//!
//! The time of each request is drawn beforehand and its latency counts from that time; see
//! `docs/design/proof.md`.

pub mod arrivals;
pub mod drive;
pub mod experiments;
pub mod keys;
pub mod measure;
pub mod mix;
pub mod results;

mod command_line;
mod load_command;
mod load_error;
mod run_command;
mod run_options;

pub use command_line::CommandLine;
pub use load_command::LoadCommand;
pub use load_error::LoadError;
pub use run_command::run_command;
pub use run_options::RunOptions;
