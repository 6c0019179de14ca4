//! The error of parsing a slice id.

/// The text is not of the form `service/index`.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
#[error("a slice is written service/index")]
pub struct ParseSliceIdError;
