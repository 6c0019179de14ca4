//! Why a request was refused.

use std::fmt;
use std::str::FromStr;

/// The reason why a request was refused and certainly did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RefusalReason {
    /// The node knows no backend server of the service on its host.
    NoServer,
    /// The backend server is cold, and the node does not know the operators' document with the
    /// rate that a cold server can handle.
    NoDocument,
    /// The backend server is shutting down, or its zone is being evacuated.
    Draining,
    /// The backend server does not hold the key now.
    NotOwner,
    /// It would wait too long for a slot.
    Full,
    /// It could not get a slot in time for its deadline.
    Expired,
    /// The backend server refused it.
    ServerRefused,
    /// No connection to the backend server could be made.
    Unreachable,
    /// Servers have ended under requests of this content, and it is being tried at one.
    Suspected,
    /// Three servers have ended under requests of this content.
    Poison,
    /// The node that the request was sent to is unreachable, shutting down, or has just started and reached no other
    /// that knows under which requests servers ended.
    NodeAway,
}

/// The error for a text that is not the name of a reason.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
#[error("unknown refusal reason: {0:?}")]
pub struct ParseRefusalReasonError(String);

impl RefusalReason {
    const ALL: [(Self, &'static str); 11] = [
        (Self::NoServer, "no_server"),
        (Self::NoDocument, "no_document"),
        (Self::Draining, "draining"),
        (Self::NotOwner, "not_owner"),
        (Self::Full, "full"),
        (Self::Expired, "expired"),
        (Self::ServerRefused, "server_refused"),
        (Self::Unreachable, "unreachable"),
        (Self::Suspected, "suspected"),
        (Self::Poison, "poison"),
        (Self::NodeAway, "node_away"),
    ];

    /// Returns whether a usable server stands behind the refusal, which may accept the request a little later.
    pub fn is_from_server(self) -> bool {
        match self {
            Self::NotOwner
            | Self::Full
            | Self::Expired
            | Self::ServerRefused
            | Self::Suspected
            | Self::Poison => true,
            Self::NoServer
            | Self::NoDocument
            | Self::Draining
            | Self::Unreachable
            | Self::NodeAway => false,
        }
    }

    /// Returns the reason's name in logs, in metrics and in messages between nodes.
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
