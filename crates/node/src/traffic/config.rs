//! The configuration of the traffic threads.

use std::net::IpAddr;
use std::net::SocketAddr;
use std::sync::Arc;

use quetzalrack_core::ids::NodeName;
use quetzalrack_core::ids::ZoneName;
use quetzalrack_core::traffic::balancing::BalancingPolicy;

use crate::platform::KeyStore;

/// The configuration of the traffic threads; everything else they read from the shared views.
#[derive(Clone, Debug)]
pub struct TrafficConfig {
    /// The node's name.
    pub node: NodeName,
    /// The node's availability zone.
    pub zone: ZoneName,
    /// The address to listen on.
    pub address: IpAddr,
    /// The port to listen on; zero lets the operating system choose.
    pub port: u16,
    /// The number of traffic threads.
    pub threads: usize,
    /// The keys with which nodes authenticate each other's requests.
    pub keys: Arc<KeyStore>,
    /// How a node is chosen for a request that any node of the service may answer.
    pub choice: BalancingPolicy,
    /// Where some other nodes take calls, known before any routing table.
    pub seeds: Vec<SocketAddr>,
    /// Whether slow requests are hedged.
    pub hedging: bool,
    /// The seed of the load balancer's random choices, so that an experiment can be repeated.
    pub seed: u64,
}
