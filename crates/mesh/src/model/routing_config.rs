//! The operators' configuration.

use std::collections::BTreeMap;

use quetzalrack_core::ids::ServiceName;
use serde::Deserialize;
use serde::Serialize;

use super::ClientLimits;
use super::Route;
use super::ServiceSettings;

/// Is a whole configuration, as the operators wrote it.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct RoutingConfig {
    /// Its version; versions rise, in uneven steps.
    pub version: u64,
    /// The routes.
    pub routes: Vec<Route>,
    /// The services.
    pub services: BTreeMap<ServiceName, ServiceSettings>,
    /// What clients may send.
    pub limits: ClientLimits,
}
