//! Why an environment can't be brought up.

use std::io;
use std::path::PathBuf;

use miette::Diagnostic;
use quetzalrack_testutils::environment::EnvironmentError;

/// Says what went wrong.
#[derive(Debug)]
#[derive(thiserror::Error, Diagnostic)]
pub enum LocalError {
    /// The document can't be read.
    #[error("{path} can't be read")]
    #[diagnostic(code(local::document_unreadable))]
    Unreadable {
        /// The document.
        path: PathBuf,
        /// Why.
        #[source]
        source: io::Error,
    },
    /// The environment did not come up.
    #[error("the environment did not come up")]
    #[diagnostic(
        code(local::environment),
        help(
            "all binaries must be built in the same profile: `cargo build --release --workspace`"
        )
    )]
    Environment(#[from] EnvironmentError),
    /// The signal can't be awaited.
    #[error("Ctrl-C can't be awaited")]
    #[diagnostic(code(local::signal))]
    Signal(#[source] io::Error),
}
