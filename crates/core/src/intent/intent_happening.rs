//! What the replay of the intent stream found.

use serde::Deserialize;
use serde::Serialize;

use super::OrderSummary;
use super::Rejection;
use super::Stage;
use crate::ids::Offset;
use crate::ids::RecordId;
use crate::ids::Version;

/// Is one verdict, with its reason.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(tag = "intent", rename_all = "snake_case")]
pub enum IntentHappening {
    /// An order took effect.
    OrderAccepted {
        /// Its stage.
        stage: Stage,
        /// The order.
        summary: OrderSummary,
    },
    /// An order had no effect.
    OrderRejected {
        /// The record's identity.
        id: RecordId,
        /// Its stage.
        stage: Stage,
        /// Why.
        rejection: Rejection,
    },
    /// A record could not be read or was signed by a stranger.
    RecordIgnored {
        /// Where it stands in the log.
        offset: Offset,
    },
    /// A snapshot from the log or from a peer was newer and was taken over.
    SnapshotAdopted {
        /// The version in force in trial.
        trial: Version,
        /// The version in force in production.
        production: Version,
    },
    /// A snapshot was older, or signed by a stranger, and was left aside.
    SnapshotIgnored,
    /// Records that were not read yet are past retention; a snapshot is needed.
    RecordsMissed {
        /// The first offset that was not read.
        from: Offset,
        /// The oldest offset kept.
        to: Offset,
    },
}
