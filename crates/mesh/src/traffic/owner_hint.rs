//! What a node that refuses a request says of its key's owner.

use std::fmt;
use std::str::FromStr;

use quetzalrack_core::ids::NodeName;
use quetzalrack_core::ids::ServiceName;

use crate::ownership::Directory;
use crate::ownership::Epoch;

/// Names the owner of a key by the refusing node's table, and the version of that table.
///
/// A node that has just released a key hears of the next owner with its next order; the node that sent the
/// request may hear of it a whole beat later.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OwnerHint {
    /// The epoch of the table.
    pub epoch: Epoch,
    /// The version of its owners.
    pub version: u64,
    /// The owner.
    pub node: NodeName,
}

/// Says that a text names no owner.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
#[error("not an owner of a key: {0:?}")]
pub struct ParseOwnerHintError(String);

impl OwnerHint {
    /// Returns the word of a node with this table, if it names an owner.
    pub fn of(directory: &Directory, service: &ServiceName, key: u16) -> Option<Self> {
        let node = directory.owner(service, key)?.clone();
        Some(Self {
            epoch: directory.epoch,
            version: directory.owners_version,
            node,
        })
    }

    /// Tells whether the word is newer than a table.
    pub fn is_newer(&self, than: &Directory) -> bool {
        (self.epoch, self.version) > (than.epoch, than.owners_version)
    }
}

impl fmt::Display for OwnerHint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}/{}", self.epoch, self.version, self.node)
    }
}

impl FromStr for OwnerHint {
    type Err = ParseOwnerHintError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let parse = || {
            let mut parts = text.splitn(3, '/');
            Some(Self {
                epoch: parts.next()?.parse().ok()?,
                version: parts.next()?.parse().ok()?,
                node: parts.next()?.parse().ok()?,
            })
        };
        parse().ok_or_else(|| ParseOwnerHintError(text.to_owned()))
    }
}
