//! The content of the settings file.

use std::net::IpAddr;
use std::net::SocketAddr;

use quetzalrack_core::ids::EnvironmentName;
use quetzalrack_core::ids::NodeName;
use quetzalrack_core::ids::ZoneName;
use quetzalrack_core::intent::Stage;
use quetzalrack_core::traffic::balancing::BalancingPolicy;
use serde::Deserialize;
use serde::Serialize;

use super::KeySettings;
use super::PortSettings;

/// The settings that a node needs at start; it learns everything else from the log, from other nodes
/// and from the backend server's announcements.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NodeSettings {
    /// The environment.
    pub environment: EnvironmentName,
    /// The stage whose intent the node follows.
    pub stage: Stage,
    /// The node's name.
    pub node: NodeName,
    /// The node's availability zone.
    pub zone: ZoneName,
    /// The address on which the node listens and at which others reach it.
    pub address: IpAddr,
    /// The ports.
    #[serde(default)]
    pub ports: PortSettings,
    /// The address of the log service, as `http://IP:PORT`.
    pub log: String,
    /// Control addresses of other nodes, queried if the log service is unreachable.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Keys by which nodes authenticate each other.
    pub node_keys: Vec<KeySettings>,
    /// Keys by which operators' records and reads are authenticated.
    pub operator_keys: Vec<KeySettings>,
    /// The address to which metrics are sent; without it none are collected.
    #[serde(default)]
    pub statsd: Option<SocketAddr>,
    /// Number of traffic threads; by default the number of cores, at most four.
    #[serde(default)]
    pub threads: Option<usize>,
    /// Whether operators' reads of the admin port must be authenticated with an operator's key.
    #[serde(default)]
    pub guard_reads: bool,
    /// Ports announced to other nodes instead of the bound ones, for example behind a proxy; zero
    /// announces the bound port.
    #[serde(default)]
    pub advertise: PortSettings,
    /// How a node is chosen for requests that any node may serve; for experiments only.
    #[serde(default)]
    pub choice: BalancingPolicy,
    /// Whether slow repeatable requests are hedged, that is sent a second time; for experiments
    /// only. By default they are, unless `choice` names another policy than the default.
    #[serde(default)]
    pub hedging: Option<bool>,
}
