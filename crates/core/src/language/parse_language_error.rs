//! Why a text names no language.

/// Says that a text names no language that has messages.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
#[error("a language is en, es or ne")]
pub struct ParseLanguageError;
