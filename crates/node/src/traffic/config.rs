//! What the traffic threads are told at start.

use std::net::IpAddr;
use std::sync::Arc;

use quetzalrack_core::ids::NodeName;
use quetzalrack_core::ids::ZoneName;
use quetzalrack_core::traffic::balancing::BalancingPolicy;

use crate::platform::KeyStore;

/// Is what the traffic threads need besides the shared views.
#[derive(Clone, Debug)]
pub struct TrafficConfig {
    /// The node's name.
    pub node: NodeName,
    /// The node's availability zone.
    pub zone: ZoneName,
    /// The address to listen on.
    pub address: IpAddr,
    /// The port to listen on; zero lets the host choose.
    pub port: u16,
    /// How many threads carry traffic.
    pub threads: usize,
    /// The keys by which nodes know each other.
    pub keys: Arc<KeyStore>,
    /// How a node is chosen where any may answer.
    pub choice: BalancingPolicy,
    /// Whether slow requests are sent a second time.
    pub hedging: bool,
    /// Seeds the choice, so that an experiment can be repeated.
    pub seed: u64,
}
