//! Why an order had no effect.

use serde::Deserialize;
use serde::Serialize;

use super::OrderSummary;
use crate::ids::DocumentDigest;
use crate::ids::Version;
use crate::ids::ZoneName;

/// Is the reason for which every reader rejects an order.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(tag = "reason", rename_all = "snake_case")]
pub enum Rejection {
    /// Another order took the base first.
    WrongBase {
        /// The base that the order named.
        base: Version,
        /// The version in force when the order was read.
        current: Version,
        /// The order that took the base, while history still keeps it.
        winner: Option<Box<OrderSummary>>,
    },
    /// The same record was read before.
    Duplicate,
    /// The order belongs to another environment.
    ForeignEnvironment,
    /// The document has errors, or is not the one that the digest names.
    InvalidDocument,
    /// Trial has not accepted the document, or too long ago.
    NotInTrial {
        /// The document's digest.
        digest: DocumentDigest,
    },
    /// The stage has not had the document in force, or too long ago.
    NotInHistory {
        /// The document's digest.
        digest: DocumentDigest,
    },
    /// The document in force has no such availability zone.
    UnknownZone {
        /// The zone.
        zone: ZoneName,
    },
    /// Nothing is in force yet, so there is nothing to take out of service.
    NothingInForce,
    /// The reason, or the list of backend servers out of service, is too long.
    TooLarge,
}
