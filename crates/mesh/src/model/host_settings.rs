//! What a node learns from its settings file.

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
use super::TimeBounds;

/// Describes the host and what the platform asks of a node on it.
#[derive(Clone, Debug, PartialEq)]
pub struct HostSettings {
    /// The node's name, which outlives its process.
    pub node: NodeName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// The host's address.
    pub ip: IpAddr,
    /// The service of the host's backend server.
    pub service: ServiceName,
    /// Where the host's backend server listens; nobody but this node reaches it.
    pub server: SocketAddr,
    /// Where the node listens.
    pub listen: ListenAddresses,
    /// The ports on which nodes may talk to each other.
    pub peer_ports: RangeInclusive<u16>,
    /// Where the metadata store listens.
    pub store: SocketAddr,
    /// What the host's own link carries; none if the platform does not say.
    pub link: Option<LinkRate>,
    /// How often the backend server sends its heartbeat.
    pub heartbeat: Duration,
    /// How the backend server is granted keys where its service does not say.
    pub granting: Granting,
    /// The bounds within which the platform wants things done.
    pub bounds: TimeBounds,
}

impl HostSettings {
    /// Names what differs between two settings, for the log.
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
            ("heartbeat", self.heartbeat != other.heartbeat),
            ("granting", self.granting != other.granting),
            ("bounds", self.bounds != other.bounds),
        ];
        let changed = fields.into_iter().filter(|(_, differs)| *differs);
        changed.map(|(name, _)| name).collect()
    }
}
