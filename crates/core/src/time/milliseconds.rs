//! A span of time as documents and settings write it.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;

use crate::ids::NumberError;

/// Is a span in whole milliseconds, the unit of every time in documents and settings.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize, JsonSchema)]
#[serde(transparent)]
pub struct Milliseconds(pub u32);

impl Milliseconds {
    /// Returns the span as a duration.
    pub fn as_duration(self) -> Duration {
        Duration::from_millis(u64::from(self.0))
    }
}

impl fmt::Display for Milliseconds {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ms", self.0)
    }
}

impl FromStr for Milliseconds {
    type Err = NumberError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let digits = text.strip_suffix("ms").unwrap_or(text).trim();
        Ok(Self(digits.parse()?))
    }
}
