//! The intent that a node follows.

use std::collections::BTreeSet;
use std::sync::Arc;

use crate::document::EnvironmentDocument;
use crate::ids::DocumentDigest;
use crate::ids::ServerName;
use crate::ids::Version;
use crate::ids::ZoneName;

/// Is the newest accepted intent of one environment and stage: the document, and which
/// availability zones and backend servers are out of service.
///
/// It is immutable; a change makes a new one with a higher version.
#[derive(Clone, Debug, PartialEq)]
pub struct InForce {
    /// Counts every accepted record, documents and orders alike.
    pub version: Version,
    /// The digest of the document's bytes.
    pub digest: DocumentDigest,
    /// The document.
    pub document: Arc<EnvironmentDocument>,
    /// The availability zones that take no new work.
    pub zones_out: BTreeSet<ZoneName>,
    /// The backend servers that take no new work.
    pub servers_out: BTreeSet<ServerName>,
}

impl InForce {
    /// Tells whether a backend server in `zone` may take new work.
    pub fn takes_work(&self, zone: &ZoneName, server: &ServerName) -> bool {
        !self.zones_out.contains(zone) && !self.servers_out.contains(server)
    }
}
