//! Binding the traffic port.

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;

use quetzalrack_core::traffic::balancing::BalancingPolicy;

use super::Node;
use super::SpawnError;
use crate::calls::CallClient;
use crate::shared::TrafficControl;
use crate::traffic::Traffic;
use crate::traffic::TrafficConfig;

/// Maximum number of traffic threads unless the settings name one; the other cores are left to the
/// backend server.
const MAX_DEFAULT_THREADS: usize = 4;

/// The bound traffic port.
pub(super) struct BoundTraffic {
    pub(super) address: SocketAddr,
    pub(super) control: Arc<dyn TrafficControl>,
}

/// Binds the traffic port and starts its threads.
pub(super) fn bind_traffic(node: &Node) -> Result<BoundTraffic, SpawnError> {
    let settings = &node.settings;
    let config = TrafficConfig {
        node: settings.node.clone(),
        zone: settings.zone.clone(),
        address: settings.address,
        port: settings.ports.traffic,
        threads: settings.threads.unwrap_or_else(default_threads),
        keys: node.keys.clone(),
        choice: settings.choice,
        seeds: settings.seeds.clone(),
        hedging: settings
            .hedging
            .unwrap_or(settings.choice == BalancingPolicy::Default),
        seed: node.boundaries.clock.wall().0,
    };
    let handovers = Arc::new(CallClient::new(node.keys.clone()));
    let clock = node.boundaries.clock.clone();
    let suspects = Arc::new(CallClient::new(node.keys.clone()));
    let running = Traffic::bind(config, node.view.clone(), clock, handovers, suspects)?;
    Ok(BoundTraffic {
        address: running.address(),
        control: Arc::new(running),
    })
}

fn default_threads() -> usize {
    thread::available_parallelism().map_or(1, |cores| cores.get().min(MAX_DEFAULT_THREADS))
}
