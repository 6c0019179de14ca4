//! How a command ended.

use std::process::ExitCode;

/// Is the exit status of a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    /// It is done, or there was nothing to do.
    Done = 0,
    /// The order was rejected, or the answer is no.
    Rejected = 1,
    /// The input was wrong; nothing was done.
    BadInput = 2,
    /// The log service or a node did not answer; it is safe to run the command again.
    Unknown = 3,
    /// The newest version is not in force everywhere.
    NotEverywhere = 4,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit as u8)
    }
}
