//! Why an environment can't be used.

use std::io;

use quetzalrack_core::ids::NameError;
use quetzalrack_core::security::KeyError;

use crate::process::ProcessError;
use crate::proxy::ProxyError;

/// Says what went wrong with an environment.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub enum EnvironmentError {
    /// A process failed.
    #[error(transparent)]
    Process(#[from] ProcessError),
    /// A fault proxy failed.
    #[error(transparent)]
    Proxy(#[from] ProxyError),
    /// The document is malformed.
    #[error("the document is malformed")]
    Document(#[source] serde_json::Error),
    /// A name made from the document is not a name.
    #[error("a name made from the document is too long")]
    Name(#[from] NameError),
    /// A file can't be written.
    #[error("a settings file can't be written")]
    Folder(#[source] io::Error),
    /// Something can't be written as JSON.
    #[error("a message can't be encoded")]
    Encoding(#[from] serde_json::Error),
    /// The keys are of no use.
    #[error(transparent)]
    Keys(#[from] KeyError),
    /// A call failed.
    #[error("a call failed")]
    Call(#[from] reqwest::Error),
    /// The log service refused a record.
    #[error("the log service answered {0} to an append")]
    Refused(reqwest::StatusCode),
    /// The host's process is not running.
    #[error("the process is not running")]
    NotRunning,
    /// Something didn't come about in time.
    #[error("{what} did not come about in time; {seen}")]
    TooLate {
        /// What was waited for.
        what: &'static str,
        /// What was seen instead.
        seen: String,
    },
    /// A waiting thread ended.
    #[error("a waiting thread ended")]
    Thread(#[from] tokio::task::JoinError),
}
