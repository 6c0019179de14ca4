//! Why nothing can be said or done at a desk.

/// Says why the intent of an environment is not known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum DeskError {
    /// The log service does not answer; nothing was appended.
    #[error("the log service does not answer; nothing was done")]
    LogDown,
    /// The log begins after the records that led to what is in force, and holds no snapshot.
    #[error("the log no longer tells what is in force")]
    RecordsMissed,
    /// The order can't be written.
    #[error("the order can't be written as a record")]
    Unwritable,
}
