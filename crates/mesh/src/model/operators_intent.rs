//! The operators' intent as a node knows it.

use std::collections::BTreeSet;
use std::sync::Arc;

use quetzalrack_core::ids::ZoneName;
use serde::Deserialize;
use serde::Serialize;

use super::RoutingConfig;

/// The operators' intent up to an offset of the operators' topic in the store.
#[derive(Clone, Debug, Default)]
#[derive(Serialize, Deserialize)]
pub struct OperatorsIntent {
    /// The offset up to which every record was applied; a higher one is newer.
    pub offset: u64,
    /// The configuration; `None` until one was read.
    pub config: Option<Arc<RoutingConfig>>,
    /// The availability zones whose backend servers receive no requests.
    pub evacuated: BTreeSet<ZoneName>,
}
