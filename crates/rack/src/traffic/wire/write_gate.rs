//! Holding requests back that have a connection.

use std::time::Duration;

/// Says when a request may be written on its open connection.
pub(crate) trait WriteGate {
    /// Lets one request pass, or returns when to ask again.
    fn pass(&self) -> Option<Duration>;
}

/// Holds nothing back.
#[derive(Clone, Copy, Debug)]
pub(crate) struct OpenGate;

impl WriteGate for OpenGate {
    fn pass(&self) -> Option<Duration> {
        None
    }
}
