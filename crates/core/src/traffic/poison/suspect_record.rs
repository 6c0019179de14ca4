//! What nodes tell each other of a content.

use serde::Deserialize;
use serde::Serialize;

use super::ContentDigest;
use super::ServerEnd;

/// The ends of servers under one content, as one node knows them.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct SuspectRecord {
    /// The content.
    pub content: ContentDigest,
    /// The ends, also those taken back.
    pub ends: Vec<ServerEnd>,
}
