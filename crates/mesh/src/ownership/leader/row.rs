//! The state of one range of keys.

use quetzalrack_core::ids::NodeName;
use quetzalrack_core::time::Moment;

use crate::model::FencingToken;
use crate::model::Handover;
use crate::model::KeyRange;
use crate::model::ServerIncarnation;

/// Is one range and who may hold it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Row {
    pub(super) keys: KeyRange,
    pub(super) state: RowState,
}

/// Says who may hold a range.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum RowState {
    /// Someone of whom this leader does not know yet.
    Unknown,
    /// Nobody.
    Free(Freedom),
    /// A backend server, under a lease that is renewed.
    Held(Tenure),
    /// A backend server that is to release it; its lease is not renewed.
    Leaving {
        tenure: Tenure,
        /// The stamp of orders from which on the range is left out.
        since: u64,
        /// For whom it is released, if that was decided.
        to: Option<NodeName>,
    },
}

/// Says how a range became free.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct Freedom {
    /// When a lease on it ran out, if that is why: it may be granted only after the leadership was
    /// confirmed by a question asked later than this. Were it not, a later leader could meanwhile
    /// have extended that lease, and two servers would hold the range.
    pub(super) lapsed: Option<Moment>,
    /// The last holder's handover token for the next one.
    pub(super) handover: Option<Handover>,
    /// For whom it was released, if that was decided.
    pub(super) to: Option<NodeName>,
}

/// Says who holds a range, and how long at most.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Tenure {
    pub(super) node: NodeName,
    /// The server's life; none if its node reports keys of a server that it can't use any more.
    pub(super) server: Option<ServerIncarnation>,
    pub(super) fence: FencingToken,
    /// What was handed over with the grant; it is sent until the server lists the range.
    pub(super) handover: Option<Handover>,
    /// After this, on this leader's clock, the lease has surely ended.
    pub(super) until: Moment,
}

impl RowState {
    pub(super) fn free() -> Self {
        Self::Free(Freedom::default())
    }

    /// Takes a range from a server, for nobody in particular.
    pub(super) fn leaving(now: Moment, tenure: &Tenure) -> Self {
        Self::Leaving {
            tenure: tenure.clone(),
            since: now.0,
            to: None,
        }
    }

    pub(super) fn tenure(&self) -> Option<&Tenure> {
        match self {
            Self::Held(tenure) | Self::Leaving { tenure, .. } => Some(tenure),
            Self::Unknown | Self::Free(_) => None,
        }
    }
}
