//! What a node knows of the ends of servers under a content, as it tells another node.

use std::fmt;
use std::str::FromStr;

use super::ParseServerEndError;
use super::ServerEnd;

/// Stands for ends that a process may not know, as it has just started.
const UNKNOWN: &str = "?";

/// The ends of servers under a content that a node knows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KnownEnds {
    /// The ends.
    pub list: Vec<ServerEnd>,
    /// Whether the node knows what the others know.
    pub informed: bool,
}

impl KnownEnds {
    /// Returns whether there is nothing to tell.
    pub fn is_empty(&self) -> bool {
        self.list.is_empty() && self.informed
    }
}

/// What a node knows that tells nothing.
impl Default for KnownEnds {
    fn default() -> Self {
        Self {
            list: Vec::new(),
            informed: true,
        }
    }
}

impl fmt::Display for KnownEnds {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let ends = self.list.iter().map(ServerEnd::to_string);
        let unknown = (!self.informed).then(|| UNKNOWN.to_owned());
        let texts: Vec<String> = ends.chain(unknown).collect();
        f.write_str(&texts.join(","))
    }
}

impl FromStr for KnownEnds {
    type Err = ParseServerEndError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let texts = text.split(',').filter(|text| !text.is_empty());
        let (unknown, ends): (Vec<&str>, Vec<&str>) = texts.partition(|text| *text == UNKNOWN);
        Ok(Self {
            list: ends.into_iter().map(str::parse).collect::<Result<_, _>>()?,
            informed: unknown.is_empty(),
        })
    }
}
