//! Why a text is not a number.

use std::num::ParseIntError;

/// The text is not a whole number in the type's range.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
#[error("not a whole number in range")]
pub struct NumberError(
    /// The standard library's error.
    #[from]
    pub ParseIntError,
);
