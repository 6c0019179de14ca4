//! How a process's memory and descriptors are divided.

use super::Kind;
use super::Share;
use crate::model::ProcessLimits;

/// The descriptors that the platform keeps for files.
const FILE_DESCRIPTORS: usize = 200;

/// Hundredths of the memory. What isn't given to any kind is left to the process itself and its allocator.
const CLIENT_PERCENT: u64 = 8;
const PEER_PERCENT: u64 = 4;
const WORK_PERCENT: u64 = 7;
const CONTROL_PERCENT: u64 = 1;
/// One body of 64 MiB fits on a host that leaves the process 160 MB.
const LARGE_REQUEST_PERCENT: u64 = 42;
const SMALL_REQUEST_PERCENT: u64 = 3;
/// And so does, when the process holds nothing else, a response of 32 MiB.
const LARGE_RESPONSE_PERCENT: u64 = 21;
const SMALL_RESPONSE_PERCENT: u64 = 3;
/// What large bodies of both directions may use together.
const LARGE_BODY_PERCENT: u64 = 57;

/// Hundredths of the descriptors. The rest is for the connections to the server and to the store.
const CLIENT_DESCRIPTOR_PERCENT: usize = 45;
const PEER_DESCRIPTOR_PERCENT: usize = 15;
const OUTGOING_DESCRIPTOR_PERCENT: usize = 15;
const CONTROL_DESCRIPTOR_PERCENT: usize = 5;

/// The shares of all kinds of holders.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct BudgetPlan {
    shares: [Share; Kind::ALL.len()],
    /// What bodies of both directions may use together.
    bodies: Share,
}

impl BudgetPlan {
    /// Makes the plan of the thread that carries requests.
    pub fn traffic(limits: ProcessLimits) -> Self {
        let connections = |percent, descriptors| Share {
            bytes: limits.memory.percent(percent).0,
            large_bytes: limits.memory.percent(percent).0,
            holders: sockets(limits, descriptors),
        };
        let work = Share {
            holders: usize::MAX,
            ..connections(WORK_PERCENT, 0)
        };
        let bodies = |large: u64, small: u64| Share {
            bytes: limits.memory.percent(large + small).0,
            large_bytes: limits.memory.percent(large).0,
            holders: usize::MAX,
        };
        let small = SMALL_REQUEST_PERCENT + SMALL_RESPONSE_PERCENT;
        Self::default()
            .with_bodies(bodies(LARGE_BODY_PERCENT, small))
            .with(
                Kind::Client,
                connections(CLIENT_PERCENT, CLIENT_DESCRIPTOR_PERCENT),
            )
            .with(
                Kind::Peer,
                connections(PEER_PERCENT, PEER_DESCRIPTOR_PERCENT),
            )
            .with(Kind::Work, work)
            .with(
                Kind::Request,
                bodies(LARGE_REQUEST_PERCENT, SMALL_REQUEST_PERCENT),
            )
            .with(
                Kind::Response,
                bodies(LARGE_RESPONSE_PERCENT, SMALL_RESPONSE_PERCENT),
            )
    }

    /// Makes the plan of the thread that answers the backend server and the platform.
    pub fn control(limits: ProcessLimits) -> Self {
        let bytes = limits.memory.percent(CONTROL_PERCENT).0;
        let share = Share {
            bytes,
            large_bytes: bytes / 4 * 3,
            holders: sockets(limits, CONTROL_DESCRIPTOR_PERCENT),
        };
        Self::default()
            .with_bodies(share)
            .with(Kind::Peer, share)
            .with(Kind::Request, share)
            .with(Kind::Response, share)
    }

    /// Returns how many connections to other nodes may be open.
    pub fn outgoing_connections(limits: ProcessLimits) -> usize {
        sockets(limits, OUTGOING_DESCRIPTOR_PERCENT)
    }

    /// Replaces the share of a kind.
    pub fn with(mut self, kind: Kind, share: Share) -> Self {
        if let Some(known) = self.shares.get_mut(kind.index()) {
            *known = share;
        }
        self
    }

    /// Replaces the share of bodies of both directions.
    pub fn with_bodies(mut self, share: Share) -> Self {
        self.bodies = share;
        self
    }

    /// Returns what bodies of both directions may use together.
    pub fn bodies(&self) -> Share {
        self.bodies
    }

    /// Returns the share of a kind.
    pub fn share(&self, kind: Kind) -> Share {
        self.shares.get(kind.index()).copied().unwrap_or_default()
    }
}

fn sockets(limits: ProcessLimits, percent: usize) -> usize {
    let sockets = limits.descriptors.saturating_sub(FILE_DESCRIPTORS);
    sockets.max(limits.descriptors / 2) * percent / 100
}
