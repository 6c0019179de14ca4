//! The owner of a key as a refusing node knows it.

use std::fmt;
use std::str::FromStr;

use quetzalrack_core::ids::NodeName;
use quetzalrack_core::ids::ServiceName;

use crate::ownership::Directory;
use crate::ownership::Epoch;

/// The owner of a key by the refusing node's table, and the version of that table.
///
/// A node that has just released a key learns the next owner from the leader's next reply. The node
/// that sent the request may learn it a whole heartbeat later.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OwnerHint {
    /// The epoch of the table.
    pub epoch: Epoch,
    /// The version of its owners.
    pub version: u64,
    /// The owner.
    pub node: NodeName,
}

/// The error for a text that is not an owner hint.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
#[error("malformed owner hint: {0:?}")]
pub struct ParseOwnerHintError(String);

impl OwnerHint {
    /// Returns the hint of a node with this table, if the table has an owner for the key.
    pub fn of(directory: &Directory, service: &ServiceName, key: u16) -> Option<Self> {
        let node = directory.owner(service, key)?.clone();
        Some(Self {
            epoch: directory.epoch,
            version: directory.owners_version,
            node,
        })
    }

    /// Returns whether the hint is from a newer table than `directory`.
    pub fn is_newer(&self, directory: &Directory) -> bool {
        (self.epoch, self.version) > (directory.epoch, directory.owners_version)
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
