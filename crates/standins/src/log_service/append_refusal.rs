//! Why the log service did not take a record.

/// Is the reason for which a record surely does not stand in the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AppendRefusal {
    /// More appends a second than the service takes.
    OverRate,
    /// The service is down or told to refuse.
    Down,
    /// The body is not a JSON value.
    Malformed,
}
