//! What the operators want, as far as a node knows.

use std::collections::BTreeSet;
use std::sync::Arc;

use quetzalrack_core::ids::ZoneName;
use serde::Deserialize;
use serde::Serialize;

use super::RoutingConfig;

/// Is the operators' intent up to an offset of the store's topic.
#[derive(Clone, Debug, Default)]
#[derive(Serialize, Deserialize)]
pub struct OperatorsIntent {
    /// The offset up to which everything was applied; a higher one is newer.
    pub offset: u64,
    /// The configuration, if one was read.
    pub config: Option<Arc<RoutingConfig>>,
    /// The availability zones whose backend servers get nothing.
    pub evacuated: BTreeSet<ZoneName>,
}
