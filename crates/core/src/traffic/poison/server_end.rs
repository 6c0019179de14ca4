//! The end of a server under a request.

use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;

use super::ServerLife;
use super::Witness;

/// One end of a server while a request was under way there.
///
/// It is recorded and taken back by counting up, so that two nodes agree whatever the order in which they
/// hear of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct ServerEnd {
    /// The server.
    pub server: ServerLife,
    /// Who noticed it.
    pub witness: Witness,
    /// Odd while the end counts, even after it was taken back.
    pub round: u8,
    /// Whether requests of this content had been answered before.
    pub answered_before: bool,
}

/// The error for a text that is not the end of a server.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
#[error("not the end of a server: {0:?}")]
pub struct ParseServerEndError(String);

impl ServerEnd {
    /// Returns whether the end counts.
    pub fn is_standing(&self) -> bool {
        self.round % 2 == 1
    }

    /// Returns whether both are about the same server and have the same witness.
    pub fn is_same(&self, other: &Self) -> bool {
        (self.server, self.witness) == (other.server, other.witness)
    }
}

impl fmt::Display for ServerEnd {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let witness = match self.witness {
            Witness::Beside => "b",
            Witness::Sender => "s",
        };
        let answered = u8::from(self.answered_before);
        write!(f, "{}:{witness}:{}:{answered}", self.server, self.round)
    }
}

impl FromStr for ServerEnd {
    type Err = ParseServerEndError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        parse(text).ok_or_else(|| ParseServerEndError(text.to_owned()))
    }
}

fn parse(text: &str) -> Option<ServerEnd> {
    let mut fields = text.split(':');
    let server = fields.next()?.parse().ok()?;
    let witness = match fields.next()? {
        "b" => Witness::Beside,
        "s" => Witness::Sender,
        _ => return None,
    };
    let round = fields.next()?.parse().ok()?;
    let answered_before = match fields.next()? {
        "0" => false,
        "1" => true,
        _ => return None,
    };
    Some(ServerEnd {
        server,
        witness,
        round,
        answered_before,
    })
}
