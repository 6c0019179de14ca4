//! The fault proxies in front of one node.

use serde_json::Value;

use super::NodeListening;
use crate::proxy::DatagramProxy;
use crate::proxy::ProxyError;
use crate::proxy::StreamProxy;

/// Stands between a node and the other nodes. Callers and operators reach the node directly.
#[derive(Debug)]
pub struct HostProxies {
    /// Where other nodes send heartbeats.
    pub heartbeat: DatagramProxy,
    /// Where other nodes send rare calls.
    pub control: StreamProxy,
    /// Where other nodes pass requests on.
    pub traffic: StreamProxy,
}

impl HostProxies {
    /// Listens before the node does, since the node must be told what to advertise.
    pub async fn bind(seed: u64) -> Result<Self, ProxyError> {
        Ok(Self {
            heartbeat: DatagramProxy::bind_first(seed).await?,
            control: StreamProxy::bind_first(seed).await?,
            traffic: StreamProxy::bind_first(seed).await?,
        })
    }

    /// Passes everything on to a node.
    pub fn aim(&self, node: &NodeListening) {
        self.heartbeat.aim(node.heartbeat);
        self.control.aim(node.control);
        self.traffic.aim(node.traffic);
    }

    /// Returns the ports that the node must advertise.
    pub fn advertised(&self) -> Value {
        serde_json::json!({
            "heartbeat": self.heartbeat.address().port(),
            "control": self.control.address().port(),
            "traffic": self.traffic.address().port(),
        })
    }
}
