//! What can happen to a node's ownership state.

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

/// Is one input of the ownership state machine.
#[derive(Clone, Debug)]
pub enum OwnershipEvent {
    /// Time has passed; sent at least every 50 ms.
    Tick,
    /// Newer intent is in force.
    IntentChanged(Arc<InForce>),
    /// Records of the control stream were read, in order.
    LogRead {
        /// The records.
        entries: Vec<LogEntry>,
        /// Whether the stream ended there.
        at_end: bool,
    },
    /// The wanted offset of the control stream is gone; reading goes on at this one.
    LogExpired(Offset),
    /// The log service did not answer a read.
    LogUnavailable,
    /// An append ended.
    AppendFinished {
        /// The record's identity.
        id: RecordId,
        /// What became of it.
        outcome: AppendOutcome,
    },
    /// A datagram of another node arrived, already authenticated.
    MessageReceived {
        /// The sender's heartbeat address.
        from: SocketAddr,
        /// The message.
        message: PeerMessage,
    },
    /// The backend server beside this node announced itself.
    ServerAnnounced(Announcement),
    /// The backend server beside this node has been silent for too long.
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
    /// The traffic threads finished a slice's last request and handed its memory over.
    SliceDrained {
        /// The slice.
        slice: SliceId,
        /// The grant's fence.
        fence: Fence,
    },
    /// The traffic threads' own counts, about every 200 ms.
    TrafficMeasured(TrafficStats),
    /// The process was asked to leave.
    ShutdownRequested,
}
