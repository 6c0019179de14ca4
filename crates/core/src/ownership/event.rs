//! The inputs of the ownership state machine.

use std::net::SocketAddr;
use std::sync::Arc;

use super::PeerMessage;
use crate::boundary::AppendOutcome;
use crate::boundary::GrantOutcome;
use crate::boundary::LogEntry;
use crate::cluster::Announcement;
use crate::ids::Fence;
use crate::ids::Offset;
use crate::ids::RecordId;
use crate::ids::SliceId;
use crate::intent::InForce;
use crate::traffic::TrafficStats;

/// An event that the node passes to the ownership state machine.
#[derive(Clone, Debug)]
pub enum OwnershipEvent {
    /// Time has passed; due at least every 50 ms.
    Tick,
    /// Newer intent is in force.
    IntentChanged(Arc<InForce>),
    /// Records of the control stream were read, in order.
    LogRead {
        /// The records.
        entries: Vec<LogEntry>,
        /// Whether the end of the stream was reached.
        at_end: bool,
    },
    /// The next offset of the control stream has expired; reading continues at this one.
    LogExpired(Offset),
    /// The log service did not answer a read.
    LogUnavailable,
    /// An append ended.
    AppendFinished {
        /// The record's identity.
        id: RecordId,
        /// The outcome of the append.
        outcome: AppendOutcome,
    },
    /// An authenticated datagram of a peer arrived.
    MessageReceived {
        /// The sender's heartbeat address.
        from: SocketAddr,
        /// The message.
        message: PeerMessage,
    },
    /// This node's backend server announced itself.
    ServerAnnounced(Announcement),
    /// This node's backend server has been silent for too long.
    ServerLost,
    /// The backend server answered a grant.
    GrantAnswered {
        /// The slice.
        slice: SliceId,
        /// The grant's fence.
        fence: Fence,
        /// The answer.
        outcome: GrantOutcome,
    },
    /// The traffic threads finished a slice's last request and handed over its idempotency state.
    SliceDrained {
        /// The slice.
        slice: SliceId,
        /// The grant's fence.
        fence: Fence,
    },
    /// The traffic threads report their counts, about every 200 ms.
    TrafficMeasured(TrafficStats),
    /// The process was asked to shut down.
    ShutdownRequested,
}
