//! Where a document is in force.

use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;

use super::ParseStageError;

/// Tells the place where documents are tried from the one where callers are served.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Stage {
    /// Documents are tried here.
    Trial,
    /// Documents accepted in trial are promoted here.
    Production,
}

impl fmt::Display for Stage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Self::Trial => "trial",
            Self::Production => "production",
        })
    }
}

impl FromStr for Stage {
    type Err = ParseStageError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "trial" => Ok(Self::Trial),
            "production" => Ok(Self::Production),
            _ => Err(ParseStageError),
        }
    }
}
