//! What a node's control asks for.

use std::net::SocketAddr;
use std::time::Duration;

use super::HeartbeatAnswer;
use super::KeyCall;
use super::LeaderRecord;
use super::Note;
use super::PeerMessage;

/// Is one output of [`super::NodeMachine`].
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a datagram.
    Send(SocketAddr, PeerMessage),
    /// Read the newest record of the leader's topic.
    ReadLeader,
    /// Append to the leader's topic, if it still ends there.
    WriteLeader {
        /// Where the topic must end.
        end: u64,
        /// The record.
        record: LeaderRecord,
    },
    /// Answer the backend server's heartbeat.
    Answer(HeartbeatAnswer),
    /// Call the backend server; the outcome comes back as an event.
    CallServer(KeyCall),
    /// The directory or the lease has changed.
    Publish,
    /// Read the operators' topic, in place of any read that is on its way.
    ReadIntent {
        /// How long the store may wait for news.
        wait: Duration,
    },
    /// Ask a node for the operators' intent, since it has read further.
    FetchIntent(SocketAddr),
    /// Write a line into the log: what is believed from now on, and the inputs.
    Note(Note),
}
