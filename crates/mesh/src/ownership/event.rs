//! The inputs of a node's state machine.

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
use crate::model::ServerIncarnation;

/// The result of a read of the leader's topic.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaderRead {
    /// The newest record, if any, and the end offset of the topic.
    Newest(Option<LeaderRecord>, u64),
    /// The store did not respond.
    Unavailable,
}

/// An event at the node's backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ServerEvent {
    /// It sent a heartbeat.
    Heartbeat(ServerHeartbeat),
    /// It announced that it leaves, and accepts no more requests.
    Leaving {
        /// Its id.
        id: ServerId,
        /// When its process started, by which an announcement that is late is told from one of the next
        /// incarnation; none if it did not say so.
        started_ms: Option<u64>,
    },
    /// This incarnation said in a response that it is leaving.
    Draining(ServerIncarnation),
    /// A call to it ended.
    CallEnded(KeyCallId, KeyCallOutcome),
    /// It is lost: its port refuses connections, and its heartbeats have stopped.
    Unreachable,
}

/// One input of [`super::NodeMachine`].
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// A datagram arrived from this address.
    Message(SocketAddr, PeerMessage),
    /// Something happened at the node's backend server.
    Server(ServerEvent),
    /// The host's time of day was read, in Unix milliseconds: at the start, and when it was set. Start times of
    /// the backend server are readings of the same clock.
    HostClock(u64),
    /// A read of the leader's topic, begun at this time, ended.
    LeaderRead(quetzalrack_core::time::Moment, LeaderRead),
    /// An append to the leader's topic ended.
    LeaderWritten(AppendOutcome),
    /// The operators' intent became known or changed.
    Intent(OperatorsIntent),
    /// A read of the operators' topic ended.
    IntentRead(IntentRead),
    /// The peer at this address knows the operators' document, while this node does not.
    IntentSource(SocketAddr),
    /// The load was measured again.
    Load(NodeLoad, Vec<KeyLoad>),
    /// The process was told to shut down.
    Shutdown,
}
