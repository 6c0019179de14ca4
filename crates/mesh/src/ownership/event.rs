//! What can happen to a node's control.

use std::net::SocketAddr;

use super::IntentRead;
use super::KeyCallId;
use super::KeyCallOutcome;
use super::KeyLoad;
use super::LeaderRecord;
use super::NodeLoad;
use super::PeerMessage;
use crate::boundary::AppendOutcome;
use crate::model::OperatorsIntent;
use crate::model::ServerHeartbeat;
use crate::model::ServerId;

/// Is what a read of the leader's topic returned.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaderRead {
    /// The newest record, if there is one, and where the topic ends.
    Newest(Option<LeaderRecord>, u64),
    /// The store did not answer.
    Unavailable,
}

/// Is what a backend server called for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ServerEvent {
    /// Its heartbeat.
    Heartbeat(ServerHeartbeat),
    /// It leaves.
    Leaves(ServerId),
    /// A call to it has ended.
    CallEnded(KeyCallId, KeyCallOutcome),
    /// It is gone: its port takes no connections, or its heartbeats have stopped for long.
    Gone,
}

/// Is one input of [`super::NodeMachine`].
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// A datagram came.
    Message(SocketAddr, PeerMessage),
    /// The backend server beside the node spoke, or fell silent.
    Server(ServerEvent),
    /// A read of the leader's topic, begun at this stamp, has ended.
    Read(quetzalrack_core::time::Moment, LeaderRead),
    /// An append to the leader's topic has ended.
    Wrote(AppendOutcome),
    /// The operators' intent changed, or was learned.
    Intent(OperatorsIntent),
    /// A read of the operators' topic has ended.
    IntentRead(IntentRead),
    /// A node at this address knows the operators' document and has met one that does not: this one.
    Neighbour(SocketAddr),
    /// The load, counted anew.
    Load(NodeLoad, Vec<KeyLoad>),
    /// The process was told to leave.
    Shutdown,
}
