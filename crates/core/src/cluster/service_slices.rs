//! The slices of one service.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::KeyHash;
use crate::ids::NodeName;
use crate::ids::SliceIndex;

/// Lists the slices of a service and the node that holds each.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ServiceSlices {
    /// Number of slices over which keys are distributed by hash.
    pub count: u32,
    /// Hot keys, each of which has a slice of its own.
    pub hot: BTreeMap<KeyHash, SliceIndex>,
    /// The holder of each slice that has one.
    pub owners: BTreeMap<SliceIndex, NodeName>,
}

impl ServiceSlices {
    /// Returns the slice of a key.
    pub fn slice_of(&self, key: KeyHash) -> SliceIndex {
        self.hot
            .get(&key)
            .copied()
            .unwrap_or_else(|| key.slice_among(self.count))
    }
}
