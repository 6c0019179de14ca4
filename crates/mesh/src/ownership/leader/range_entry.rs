//! The state of one range of keys.

use quetzalrack_core::ids::NodeName;
use quetzalrack_core::time::Moment;

use crate::model::FencingToken;
use crate::model::Handover;
use crate::model::KeyRange;
use crate::model::ServerIncarnation;

/// A range of keys, and who may hold it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct RangeEntry {
    pub(super) keys: KeyRange,
    pub(super) state: RangeState,
}

/// Who may hold a range.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum RangeState {
    /// A holder that this leader does not know yet.
    Unknown,
    /// Nobody.
    Free(FreeRange),
    /// A backend server, under a lease that is renewed.
    Held(RangeLease),
    /// A backend server that is to release the range; its lease is not renewed.
    Releasing {
        lease: RangeLease,
        /// Replies that were sent from this moment on leave the range out.
        since: u64,
        /// The node that is to be granted the range next, if that is decided.
        target: Option<NodeName>,
    },
}

/// How a range became free.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct FreeRange {
    /// When a lease on it lapsed, if that is the reason. The range may then be granted only after
    /// the leadership was confirmed by a call that was sent later. Otherwise a later leader could
    /// have extended that lease in the meantime, and two servers would hold the range.
    pub(super) lapsed_at: Option<Moment>,
    /// The last holder's handover token for the next one.
    pub(super) handover: Option<Handover>,
    /// The node that is to be granted the range, if that is decided.
    pub(super) target: Option<NodeName>,
}

/// The holder of a range, and the latest end of its lease.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct RangeLease {
    pub(super) node: NodeName,
    /// The server's incarnation; none if its node reports keys of a server that it can't use any
    /// more.
    pub(super) server: Option<ServerIncarnation>,
    pub(super) fence: FencingToken,
    /// The handover token of the grant; it is sent until the server lists the range.
    pub(super) handover: Option<Handover>,
    /// After this moment on this leader's clock, the lease has certainly ended.
    pub(super) expires_at: Moment,
}

impl RangeState {
    pub(super) fn free() -> Self {
        Self::Free(FreeRange::default())
    }

    /// Returns the state of a range that its server is to release, with no next holder decided.
    pub(super) fn releasing(now: Moment, lease: &RangeLease) -> Self {
        Self::Releasing {
            lease: lease.clone(),
            since: now.0,
            target: None,
        }
    }

    pub(super) fn lease(&self) -> Option<&RangeLease> {
        match self {
            Self::Held(lease) | Self::Releasing { lease, .. } => Some(lease),
            Self::Unknown | Self::Free(_) => None,
        }
    }
}
