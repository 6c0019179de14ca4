//! The streams that the system keeps in the log.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::EnvironmentName;
use crate::intent::Stage;

/// Names a stream of the log service.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub enum Stream {
    /// Operators' documents and service orders, of both stages.
    Intent(EnvironmentName),
    /// Joins, claims of terms and checkpoints of one environment's stage.
    Control(EnvironmentName, Stage),
}

impl fmt::Display for Stream {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Intent(environment) => write!(f, "{environment}.intent"),
            Self::Control(environment, stage) => write!(f, "{environment}.{stage}.control"),
        }
    }
}
