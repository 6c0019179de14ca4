//! The whole settings file.

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

/// Is what a node must be told at start; everything else comes from the log, from other nodes and
/// from the backend server's announcements.
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
    /// Where the log service is, as `http://IP:PORT`.
    pub log: String,
    /// Control addresses of other nodes, asked when the log service is down at start.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Keys by which nodes know each other.
    pub node_keys: Vec<KeySettings>,
    /// Keys by which operators' records and calls are known.
    pub operator_keys: Vec<KeySettings>,
    /// Where metrics go; none costs nothing.
    #[serde(default)]
    pub statsd: Option<SocketAddr>,
    /// How many threads carry traffic; the number of cores by default, four at most.
    #[serde(default)]
    pub threads: Option<usize>,
    /// Whether operators' reads of the admin port need a proof of an operator's key.
    #[serde(default)]
    pub guard_reads: bool,
    /// Ports that other nodes are told in place of the bound ones, where something stands in front
    /// of the node; zero tells the bound one.
    #[serde(default)]
    pub advertise: PortSettings,
    /// How a node is chosen where any may answer; for experiments only.
    #[serde(default)]
    pub choice: BalancingPolicy,
    /// Whether slow repeatable requests are sent a second time; for experiments only. Without it
    /// they are, unless a baseline was chosen.
    #[serde(default)]
    pub hedging: Option<bool>,
}
