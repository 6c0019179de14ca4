//! The reply to a probe.

use serde::Deserialize;
use serde::Serialize;

use crate::ids::NodeName;

/// Replies to a probe; its arrival shows that datagrams get through in both directions.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Echo {
    /// The replying node.
    pub node: NodeName,
    /// The probe's `sent_at`.
    pub probe_sent: u64,
}
