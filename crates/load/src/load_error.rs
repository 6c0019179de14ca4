//! Why a load or an experiment failed.

use std::io;
use std::path::PathBuf;

use miette::Diagnostic;
use quetzalrack_testutils::environment::EnvironmentError;
use quetzalrack_testutils::process::ProcessError;

/// Says what went wrong.
#[derive(Debug)]
#[derive(thiserror::Error, Diagnostic)]
pub enum LoadError {
    /// The document can't be read.
    #[error("{path} can't be read")]
    #[diagnostic(code(load::document_unreadable))]
    Unreadable {
        /// The document.
        path: PathBuf,
        /// Why.
        #[source]
        source: io::Error,
    },
    /// The environment failed.
    #[error("the environment failed")]
    #[diagnostic(code(load::environment))]
    Environment(#[from] EnvironmentError),
    /// A process failed.
    #[error("a process failed")]
    #[diagnostic(code(load::process))]
    Process(#[from] ProcessError),
    /// The document or a result is not JSON.
    #[error("the JSON is malformed")]
    #[diagnostic(code(load::json))]
    Json(#[from] serde_json::Error),
    /// The caller can't be made.
    #[error("the caller can't be made")]
    #[diagnostic(code(load::caller))]
    Caller(#[from] reqwest::Error),
    /// The results can't be written.
    #[error("the results can't be written")]
    #[diagnostic(code(load::folder))]
    Folder(#[source] io::Error),
    /// The plot can't be drawn.
    #[error("the plot can't be drawn: {0}")]
    #[diagnostic(code(load::plot))]
    Plot(String),
    /// The experiment can't go on.
    #[error("the experiment can't go on: {0}")]
    #[diagnostic(code(load::experiment))]
    Experiment(&'static str),
}
