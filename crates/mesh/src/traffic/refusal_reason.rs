//! Why a request did not run.

use std::fmt;
use std::str::FromStr;

/// Says why a request was surely not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RefusalReason {
    /// No backend server of the service is known beside the node.
    NoServer,
    /// The backend server is cold, and the node does not know the operators' document that says what
    /// it bears.
    NoDocument,
    /// The backend server leaves, or its zone is being emptied.
    Draining,
    /// The backend server does not hold the key now.
    NotOwner,
    /// It would wait too long for its turn.
    Full,
    /// Its time was over before its turn came.
    Expired,
    /// The backend server refused it.
    ServerRefused,
    /// No connection to the backend server could be made.
    Unreachable,
    /// The node that was asked could not be reached, or is shutting down.
    NodeAway,
}

/// Says that a text names no reason.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
#[error("not a reason for a refusal: {0:?}")]
pub struct ParseRefusalReasonError(String);

impl RefusalReason {
    const ALL: [(Self, &'static str); 9] = [
        (Self::NoServer, "no_server"),
        (Self::NoDocument, "no_document"),
        (Self::Draining, "draining"),
        (Self::NotOwner, "not_owner"),
        (Self::Full, "full"),
        (Self::Expired, "expired"),
        (Self::ServerRefused, "server_refused"),
        (Self::Unreachable, "unreachable"),
        (Self::NodeAway, "node_away"),
    ];

    /// Returns the reason's name in logs, metrics and between nodes.
    pub fn name(self) -> &'static str {
        let found = Self::ALL.iter().find(|(reason, _)| *reason == self);
        found.map_or("unknown", |(_, name)| name)
    }
}

impl fmt::Display for RefusalReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

impl FromStr for RefusalReason {
    type Err = ParseRefusalReasonError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let found = Self::ALL.iter().find(|(_, name)| *name == text);
        found
            .map(|(reason, _)| *reason)
            .ok_or_else(|| ParseRefusalReasonError(text.to_owned()))
    }
}
