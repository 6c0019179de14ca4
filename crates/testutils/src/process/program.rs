//! Our binaries.

use std::env;
use std::path::Path;
use std::path::PathBuf;

use super::ProcessError;

/// Names one of our binaries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Program {
    /// The log service's stand-in.
    Log,
    /// The backend server's stand-in.
    Server,
    /// The node.
    Node,
    /// The operators' command.
    Operator,
    /// The burn report.
    Report,
    /// One environment on loopback.
    Local,
    /// The load tool.
    Load,
}

impl Program {
    /// Returns the binary's name.
    pub fn name(self) -> &'static str {
        match self {
            Self::Log => "quetzalrack-log",
            Self::Server => "quetzalrack-server",
            Self::Node => "quetzalrack-node",
            Self::Operator => "quetzalrack-operator",
            Self::Report => "quetzalrack-report",
            Self::Local => "quetzalrack-local",
            Self::Load => "quetzalrack-load",
        }
    }

    /// Finds the binary next to the running executable, or one folder up, where cargo puts the
    /// binaries of the profile whose tests are running.
    pub fn path(self) -> Result<PathBuf, ProcessError> {
        let running = env::current_exe().map_err(ProcessError::NoFolder)?;
        let beside = running.with_file_name(self.name());
        if beside.is_file() {
            return Ok(beside);
        }
        let above = running
            .parent()
            .and_then(Path::parent)
            .map(|folder| folder.join(self.name()));
        match above {
            Some(path) if path.is_file() => Ok(path),
            _ => Err(ProcessError::Missing(beside)),
        }
    }
}
