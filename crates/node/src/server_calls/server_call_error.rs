//! The reason why a call brought no response.

use std::io;

/// The reason why a call to the backend server brought no response.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub(crate) enum ServerCallError {
    /// No connection could be opened; nothing was sent.
    #[error("can't connect")]
    Connect(#[source] io::Error),
    /// No connection was opened in time; nothing was sent.
    #[error("connecting timed out")]
    ConnectTimeout,
    /// The connection broke, or brought no valid response; the request may have run.
    #[error("the connection broke")]
    Broken(#[from] hyper::Error),
}
