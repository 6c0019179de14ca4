//! Why a process can't be used.

use std::io;
use std::path::PathBuf;

/// Says what went wrong with one of our processes.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub enum ProcessError {
    /// The binary was not built.
    #[error("{0} is not built; run `cargo build --workspace` in the same profile first")]
    Missing(PathBuf),
    /// The running executable's folder is unknown.
    #[error("the folder of the running executable is unknown")]
    NoFolder(#[source] io::Error),
    /// The process didn't start.
    #[error("{program} did not start")]
    NotStarted {
        /// The binary.
        program: &'static str,
        /// Why.
        #[source]
        source: io::Error,
    },
    /// The process said nothing about where it listens.
    #[error("{program} did not say where it listens; it said: {said}")]
    NotListening {
        /// The binary.
        program: &'static str,
        /// The last lines of its output.
        said: String,
    },
    /// The process can't be signalled.
    #[error("the process can't be signalled")]
    NotSignalled(#[source] io::Error),
}
