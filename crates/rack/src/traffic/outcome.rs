//! The outcome of sending a request to a node.

use std::fmt;
use std::time::Duration;

use http::Response;
use quetzalrack_core::traffic::poison::KnownEnds;
use quetzalrack_mesh::model::ServerNotice;
use quetzalrack_mesh::ownership::NodeLoad;
use quetzalrack_mesh::traffic::OwnerHint;
use quetzalrack_mesh::traffic::RefusalReason;

use super::body::Payload;

/// Why a request that was sent to a backend server has no valid response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LostReason {
    /// The connection broke before the whole response was received.
    Broken,
    /// The response belongs to another request or does not come from a backend server.
    Foreign,
    /// No response was received before the deadline.
    TimedOut,
    /// The process could not hold the response.
    NoRoom,
}

/// The outcome of one attempt at one node.
#[derive(Clone, Debug)]
pub(super) enum Outcome {
    /// The backend server responded, with any status.
    Answered(Response<Payload>),
    /// The request was certainly not run; it may be retried after the given time.
    NotRun(RefusalReason, Duration),
    /// The request may have run.
    Lost(LostReason),
}

/// An outcome, with the load and the owner of the key that the node reported.
#[derive(Clone, Debug)]
pub(super) struct AttemptReport {
    pub(super) outcome: Outcome,
    pub(super) load: Option<NodeLoad>,
    /// The owner of the key according to the table of the node that refused the request.
    pub(super) owner: Option<OwnerHint>,
    /// What the node knows of its server, if that is worth telling.
    pub(super) notice: Option<ServerNotice>,
    /// The ends of servers under the job's content that the node knows.
    pub(super) ends: KnownEnds,
    /// How old the process is that responded, unless it runs for long.
    pub(super) age: Option<Duration>,
}

impl Outcome {
    /// Returns whether the process that reports it had no room, which says nothing of the node that was tried.
    pub(super) fn is_own_lack(&self) -> bool {
        matches!(self, Self::Lost(LostReason::NoRoom))
    }
}

impl AttemptReport {
    /// Makes a report without load or owner.
    pub(super) fn new(outcome: Outcome) -> Self {
        Self {
            outcome,
            load: None,
            owner: None,
            notice: None,
            ends: KnownEnds::default(),
            age: None,
        }
    }
}

impl LostReason {
    pub(super) fn name(self) -> &'static str {
        match self {
            Self::Broken => "broken",
            Self::Foreign => "foreign",
            Self::TimedOut => "timed_out",
            Self::NoRoom => "no_room",
        }
    }
}

impl fmt::Display for LostReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

impl std::str::FromStr for LostReason {
    type Err = ();

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let reasons = [Self::Broken, Self::Foreign, Self::TimedOut, Self::NoRoom];
        reasons
            .into_iter()
            .find(|reason| reason.name() == text)
            .ok_or(())
    }
}
