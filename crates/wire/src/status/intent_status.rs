//! The intent that a node has in force.

use std::collections::BTreeSet;

use quetzalrack_core::ids::DocumentDigest;
use quetzalrack_core::ids::ServerName;
use quetzalrack_core::ids::Version;
use quetzalrack_core::ids::ZoneName;
use serde::Deserialize;
use serde::Serialize;

/// Says which intent is in force at a node and since when.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct IntentStatus {
    /// The intent's version.
    pub version: Version,
    /// The digest of the document's bytes.
    pub digest: DocumentDigest,
    /// How long it has been in force at this node, in milliseconds.
    pub age_ms: u64,
    /// Availability zones out of service.
    pub zones_out: BTreeSet<ZoneName>,
    /// Backend servers out of service.
    pub servers_out: BTreeSet<ServerName>,
}
