//! What an operator asks for.

use serde::Deserialize;
use serde::Serialize;

use super::Stage;
use crate::ids::DocumentDigest;
use crate::ids::ServerName;
use crate::ids::ZoneName;

/// Is one wish of an operator; each applies to exactly one stage.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(tag = "order", rename_all = "snake_case", deny_unknown_fields)]
pub enum Order {
    /// Put a new document in force in trial; its text travels beside the order.
    Publish {
        /// The document's digest.
        digest: DocumentDigest,
    },
    /// Put a document that trial accepted in force in production, byte for byte.
    Promote {
        /// The document's digest.
        digest: DocumentDigest,
    },
    /// Put a document that was in force in this stage in force again, as a new version.
    Rollback {
        /// The stage.
        stage: Stage,
        /// The document's digest.
        digest: DocumentDigest,
    },
    /// Take an availability zone out of service.
    ZoneOut {
        /// The stage.
        stage: Stage,
        /// The zone.
        zone: ZoneName,
    },
    /// Take an availability zone back into service.
    ZoneIn {
        /// The stage.
        stage: Stage,
        /// The zone.
        zone: ZoneName,
    },
    /// Take a backend server out of service.
    ServerOut {
        /// The stage.
        stage: Stage,
        /// The backend server.
        server: ServerName,
    },
    /// Take a backend server back into service.
    ServerIn {
        /// The stage.
        stage: Stage,
        /// The backend server.
        server: ServerName,
    },
}

impl Order {
    /// Returns the stage to which the order applies: documents are published to trial and promoted
    /// to production, every other order names its stage.
    pub fn stage(&self) -> Stage {
        match self {
            Self::Publish { .. } => Stage::Trial,
            Self::Promote { .. } => Stage::Production,
            Self::Rollback { stage, .. }
            | Self::ZoneOut { stage, .. }
            | Self::ZoneIn { stage, .. }
            | Self::ServerOut { stage, .. }
            | Self::ServerIn { stage, .. } => *stage,
        }
    }

    /// Returns the digest of the document that the order puts in force, if it is about one.
    pub fn digest(&self) -> Option<DocumentDigest> {
        match self {
            Self::Publish { digest } | Self::Promote { digest } | Self::Rollback { digest, .. } => {
                Some(*digest)
            }
            _ => None,
        }
    }
}
