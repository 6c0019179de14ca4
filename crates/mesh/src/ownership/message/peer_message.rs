//! The datagrams between nodes.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use super::Epoch;
use super::Handoff;
use super::LeaderRecord;
use super::LeaderReply;
use super::NodeHeartbeat;
use super::NodeIncarnation;

/// An empty list of departures, as it is encoded.
const NO_DEPARTURES: [u8; 1] = [0];

/// One datagram between nodes.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum PeerMessage {
    /// A heartbeat of a node to its leader.
    Heartbeat(Box<NodeHeartbeat>),
    /// The leader's reply to a heartbeat.
    Reply(Box<LeaderReply>),
    /// Asks a voter whether the leader of an epoch responds to it. The sender gets no replies from that
    /// leader.
    LeaderQuery {
        /// The sender.
        from: NodeIncarnation,
        /// The leader's epoch.
        epoch: Epoch,
        /// The offset up to which the sender has read the operators' intent.
        intent_offset: u64,
        /// Where peers can fetch that intent.
        traffic: SocketAddr,
    },
    /// The reply to a [`PeerMessage::LeaderQuery`].
    LeaderStatus {
        /// The sender.
        from: NodeIncarnation,
        /// The epoch of the query.
        epoch: Epoch,
        /// Whether the leader of that epoch, or a later one, replies to the sender.
        responsive: bool,
        /// The offset up to which the sender has read the operators' intent.
        intent_offset: u64,
        /// Where peers can fetch that intent.
        traffic: SocketAddr,
    },
    /// Names the leader to a node that sends it no heartbeats: after a change of leader, or if the node
    /// knows no leader because it started while the store was unreachable.
    LeaderAnnouncement(Box<LeaderRecord>),
    /// The handoff of a leader that shuts down; it has stopped acting as the leader.
    Handoff(Box<Handoff>),
    /// The leader of an epoch has stood down; the nodes look for the next one at once.
    Resign {
        /// The leader's epoch.
        epoch: Epoch,
    },
    /// Asks a node whose server was granted keys for a heartbeat at once. The reply to it tells the node
    /// of the grant, and the keys have no owner until then.
    HeartbeatRequest {
        /// The leader's epoch.
        epoch: Epoch,
    },
}

impl PeerMessage {
    /// Encodes the message as a datagram.
    pub fn encode(&self) -> Result<Vec<u8>, postcard::Error> {
        postcard::to_allocvec(self)
    }

    /// Decodes a datagram. A process of an earlier version sends heartbeats, replies and announcements without
    /// departures at their ends, or with more fields behind them that say nothing here.
    pub fn decode(bytes: &[u8]) -> Result<Self, postcard::Error> {
        match postcard::from_bytes(bytes) {
            Err(postcard::Error::DeserializeUnexpectedEnd) => {
                postcard::from_bytes(&[bytes, &NO_DEPARTURES].concat())
            }
            decoded => decoded,
        }
    }
}
