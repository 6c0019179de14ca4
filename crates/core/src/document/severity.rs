//! How bad a problem is.

use serde::Deserialize;
use serde::Serialize;

/// Tells what must be mended from what should be thought about.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Severity {
    /// The document is refused.
    Error,
    /// The document is legal but unwise.
    Warning,
}
