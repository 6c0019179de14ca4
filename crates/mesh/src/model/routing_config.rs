//! The operators' configuration.

use std::collections::BTreeMap;

use quetzalrack_core::ids::ServiceName;
use serde::Deserialize;
use serde::Serialize;

use super::ClientLimits;
use super::Route;
use super::ServiceSettings;

/// A whole configuration as the operators published it.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct RoutingConfig {
    /// Its version. Versions rise, but not always by one.
    pub version: u64,
    /// The routes.
    pub routes: Vec<Route>,
    /// The services.
    pub services: BTreeMap<ServiceName, ServiceSettings>,
    /// Limits of client connections.
    pub limits: ClientLimits,
}
