//! What an environment is to be.

use std::path::PathBuf;

use quetzalrack_core::document::EnvironmentDocument;
use quetzalrack_core::ids::NodeName;
use quetzalrack_core::ids::ServerName;
use quetzalrack_core::ids::ZoneName;
use quetzalrack_core::intent::Stage;
use quetzalrack_standins::log_service::LogSettings;
use serde_json::Map;
use serde_json::Value;

use super::BackendTuning;
use super::EnvironmentError;
use super::HostPlan;

/// Describes an environment to be started: one node and one backend server for each server that
/// the document names, the zones in turn.
#[derive(Clone, Debug)]
pub struct EnvironmentPlan {
    /// The document's exact text.
    pub text: String,
    /// The document.
    pub document: EnvironmentDocument,
    /// The stage that the nodes follow.
    pub stage: Stage,
    /// The log service's settings.
    pub log: LogSettings,
    /// How the backend servers behave.
    pub tuning: BackendTuning,
    /// More fields for every node's settings file.
    pub node_fields: Map<String, Value>,
    /// How many threads of each node carry traffic.
    pub threads: usize,
    /// Whether a fault proxy stands in front of every node.
    pub proxied: bool,
    /// Where settings and logs go; a temporary folder when none is given.
    pub folder: Option<PathBuf>,
}

impl EnvironmentPlan {
    /// Plans the environment of a document.
    pub fn from_text(text: &str) -> Result<Self, EnvironmentError> {
        Ok(Self {
            text: text.to_owned(),
            document: serde_json::from_str(text).map_err(EnvironmentError::Document)?,
            stage: Stage::Production,
            log: LogSettings::default(),
            tuning: BackendTuning::default(),
            node_fields: Map::new(),
            threads: 2,
            proxied: false,
            folder: None,
        })
    }

    /// Lists the hosts, zones in turn for each service.
    pub fn hosts(&self) -> Result<Vec<HostPlan>, EnvironmentError> {
        let mut hosts = Vec::new();
        for service in &self.document.services {
            let zones = self.document.zones.iter().cycle();
            for (number, zone) in (1..=service.servers).zip(zones) {
                let name = format!("{}-{number}", service.name);
                let server: ServerName = name.parse()?;
                let node: NodeName = format!("node-{name}").parse()?;
                let zone: ZoneName = zone.clone();
                hosts.push(HostPlan {
                    node,
                    zone,
                    server,
                    service: service.clone(),
                });
            }
        }
        Ok(hosts)
    }
}
