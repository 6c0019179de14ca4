//! The name of a slice across services.

use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;

use super::ParseSliceIdError;
use super::ServiceName;
use super::SliceIndex;

/// Names one slice of one service, the unit of ownership. Written as `service/index`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct SliceId {
    /// The service that the slice divides.
    pub service: ServiceName,
    /// The slice's number within it.
    pub index: SliceIndex,
}

impl fmt::Display for SliceId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.service, self.index)
    }
}

impl FromStr for SliceId {
    type Err = ParseSliceIdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (service, index) = text.split_once('/').ok_or(ParseSliceIdError)?;
        Ok(Self {
            service: service.parse().map_err(|_| ParseSliceIdError)?,
            index: index.parse().map_err(|_| ParseSliceIdError)?,
        })
    }
}
