//! Everything that nodes send each other as datagrams.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use super::Beat;
use super::Epoch;
use super::Handoff;
use super::LeaderRecord;
use super::NodeLife;
use super::Order;

/// Is one datagram.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum PeerMessage {
    /// A node speaks to its leader.
    Beat(Box<Beat>),
    /// A leader answers.
    Order(Box<Order>),
    /// A node that does not hear the leader of an epoch asks another whether it does.
    Ask {
        /// Who asks.
        from: NodeLife,
        /// The epoch.
        epoch: Epoch,
        /// How far it has read the operators' intent.
        intent: u64,
        /// Where it tells others what that is.
        traffic: SocketAddr,
    },
    /// The answer.
    Say {
        /// Who answers.
        from: NodeLife,
        /// The epoch that was asked for.
        epoch: Epoch,
        /// Whether it hears that leader, or a later one.
        hears: bool,
        /// How far it has read the operators' intent.
        intent: u64,
        /// Where it tells others what that is.
        traffic: SocketAddr,
    },
    /// A leader speaks to a node that does not: a new leader, or a node that knows nobody because
    /// it has started while the store is away.
    Lead(Box<LeaderRecord>),
    /// A leader that shuts down hands its leadership on; it has stopped acting.
    Handoff(Box<Handoff>),
    /// The leader of an epoch stands down; the next is to be found at once.
    Resign {
        /// Its epoch.
        epoch: Epoch,
    },
    /// The leader has granted keys to a node's server: the node is to speak at once, since it is told
    /// with the answer, and the keys have no owner until then.
    Prompt {
        /// The leader's epoch.
        epoch: Epoch,
    },
}

impl PeerMessage {
    /// Writes the message as a datagram.
    pub fn encode(&self) -> Result<Vec<u8>, postcard::Error> {
        postcard::to_allocvec(self)
    }

    /// Reads a datagram.
    pub fn decode(bytes: &[u8]) -> Result<Self, postcard::Error> {
        postcard::from_bytes(bytes)
    }
}
