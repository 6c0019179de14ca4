//! The error of parsing a fence.

/// The text is not of the form `term.rank.sequence`.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
#[error("a fence is written term.rank.sequence")]
pub struct ParseFenceError;
