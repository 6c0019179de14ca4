//! What a backend server says of itself in its responses.

use std::fmt;
use std::str::FromStr;

use super::RequestRate;
use super::ServerId;
use super::ServerIncarnation;

/// Stands for a server without a rate limit in text.
const NO_LIMIT: &str = "-";

/// What one incarnation of a backend server says of itself in its responses. Nodes pass it on with the
/// requests they send each other, so that it outlives the process beside the server.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerNotice {
    /// The server and its incarnation.
    pub incarnation: ServerIncarnation,
    /// How many requests per second it accepts from all nodes together, if it names a limit.
    pub limit: Option<RequestRate>,
    /// Whether it is leaving and must get no more requests.
    pub leaving: bool,
}

/// The error for a string that is not a notice.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
#[error("not a notice of a server: {0:?}")]
pub struct ParseServerNoticeError(String);

impl ServerNotice {
    /// Tells whether the server names neither a limit nor its departure.
    pub fn is_empty(&self) -> bool {
        self.limit.is_none() && !self.leaving
    }
}

impl fmt::Display for ServerNotice {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let limit = self.limit.map(|limit| limit.to_string());
        write!(
            f,
            "{};{};{};{}",
            self.incarnation.started_ms,
            limit.as_deref().unwrap_or(NO_LIMIT),
            u8::from(self.leaving),
            self.incarnation.id
        )
    }
}

impl FromStr for ServerNotice {
    type Err = ParseServerNoticeError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        parse(text).ok_or_else(|| ParseServerNoticeError(text.to_owned()))
    }
}

fn parse(text: &str) -> Option<ServerNotice> {
    let mut fields = text.splitn(4, ';');
    let started_ms = fields.next()?.parse().ok()?;
    let limit = match fields.next()? {
        NO_LIMIT => None,
        limit => Some(limit.parse().ok()?),
    };
    let leaving = match fields.next()? {
        "0" => false,
        "1" => true,
        _ => return None,
    };
    let id = ServerId(fields.next()?.into());
    let incarnation = ServerIncarnation { id, started_ms };
    Some(ServerNotice {
        incarnation,
        limit,
        leaving,
    })
}
