//! Why a text is not a stage.

/// Says that a text names no stage.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
#[error("a stage is trial or production")]
pub struct ParseStageError;
