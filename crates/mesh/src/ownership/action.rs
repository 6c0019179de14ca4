//! The outputs of a node's state machine.

use std::net::SocketAddr;
use std::time::Duration;

use super::HeartbeatAnswer;
use super::KeyCall;
use super::LeaderRecord;
use super::LogEntry;
use super::PeerMessage;

/// One output of [`super::NodeMachine`].
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a datagram.
    Send(SocketAddr, PeerMessage),
    /// Read the newest record of the leader's topic.
    ReadLeader,
    /// Append to the leader's topic, if it still ends at this offset.
    WriteLeader {
        /// The end offset that the topic must have.
        topic_end: u64,
        /// The record.
        record: LeaderRecord,
    },
    /// Answer the backend server's heartbeat.
    AnswerHeartbeat(HeartbeatAnswer),
    /// Keep this answer to the backend server's call until its departure is acknowledged.
    DelayAnswer(HeartbeatAnswer),
    /// Acknowledge the backend server's departure, with all answers that were delayed for it.
    AcknowledgeDeparture,
    /// Call the backend server; the outcome is reported as an event.
    CallServer(KeyCall),
    /// Publish the directory and the lease, since one of them may have changed.
    Publish,
    /// Read the operators' topic; a read in progress is aborted.
    ReadIntent {
        /// How long the store may wait for new records.
        wait: Duration,
    },
    /// Fetch the operators' intent from a peer that has read further.
    FetchIntent(SocketAddr),
    /// Write a line to the log.
    Log(LogEntry),
}
