//! Settings of a host, as read from a node's settings file.

use std::net::IpAddr;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::time::Duration;

use quetzalrack_core::ids::NodeName;
use quetzalrack_core::ids::ServiceName;
use quetzalrack_core::ids::ZoneName;

use super::Granting;
use super::LinkRate;
use super::ListenAddresses;
use super::PlatformBounds;
use super::ProcessLimits;

/// A host and the platform's requirements of the node on it.
#[derive(Clone, Debug, PartialEq)]
pub struct HostSettings {
    /// The node's name, which stays the same across restarts.
    pub node: NodeName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// The host's address.
    pub ip: IpAddr,
    /// The service of the host's backend server.
    pub service: ServiceName,
    /// Where the host's backend server listens; only this node can reach it.
    pub server: SocketAddr,
    /// Where the node listens.
    pub listen: ListenAddresses,
    /// The ports on which nodes may communicate with each other.
    pub peer_ports: RangeInclusive<u16>,
    /// Where the metadata store listens.
    pub store: SocketAddr,
    /// The bandwidth of the host's own link; `None` if the platform does not state it.
    pub link: Option<LinkRate>,
    /// What the host leaves to this process.
    pub limits: ProcessLimits,
    /// How often the backend server sends its heartbeat.
    pub heartbeat: Duration,
    /// How the backend server is granted keys if its service does not specify it.
    pub granting: Granting,
    /// Time limits and budgets that the platform sets.
    pub bounds: PlatformBounds,
}

impl HostSettings {
    /// Returns the names of the fields that differ, for the log.
    pub fn differences(&self, other: &Self) -> Vec<&'static str> {
        let fields = [
            ("node", self.node != other.node),
            ("zone", self.zone != other.zone),
            ("ip", self.ip != other.ip),
            ("service", self.service != other.service),
            ("server", self.server != other.server),
            ("listen", self.listen != other.listen),
            ("peer_ports", self.peer_ports != other.peer_ports),
            ("store", self.store != other.store),
            ("link", self.link != other.link),
            ("limits", self.limits != other.limits),
            ("heartbeat", self.heartbeat != other.heartbeat),
            ("granting", self.granting != other.granting),
            ("bounds", self.bounds != other.bounds),
        ];
        let changed = fields.into_iter().filter(|(_, differs)| *differs);
        changed.map(|(name, _)| name).collect()
    }
}
