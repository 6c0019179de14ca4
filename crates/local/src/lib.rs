//! One environment on loopback from one document, for developers.
//!
//! It starts the stand-ins and one node beside each backend server, puts the document in force,
//! and says how to call each service. The binaries must have been built in the same profile.

mod command_line;
mod local_error;
mod ready_table;
mod run;

pub use command_line::CommandLine;
pub use local_error::LocalError;
pub use ready_table::ReadyTable;
pub use run::run;
