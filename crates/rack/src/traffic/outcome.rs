//! What became of a request at a node.

use std::fmt;
use std::time::Duration;

use bytes::Bytes;
use http::Response;
use quetzalrack_mesh::ownership::NodeLoad;
use quetzalrack_mesh::traffic::OwnerHint;
use quetzalrack_mesh::traffic::RefusalReason;

/// Says why a request that was sent to a backend server has no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LostReason {
    /// The connection broke, or the answer did.
    Broken,
    /// The answer was not this request's, or no server's.
    Foreign,
    /// No answer came in time.
    TimedOut,
}

/// Is the outcome of one attempt at one node.
#[derive(Clone, Debug)]
pub(super) enum Outcome {
    /// The backend server answered, whatever it said.
    Answered(Response<Bytes>),
    /// It surely did not run; there may be room after the time.
    NotRun(RefusalReason, Duration),
    /// It may have run.
    Lost(LostReason),
}

/// Is an outcome with what the node told along with it.
#[derive(Clone, Debug)]
pub(super) struct AttemptReport {
    pub(super) outcome: Outcome,
    pub(super) load: Option<NodeLoad>,
    /// Who owns the key by the table of the node that refused.
    pub(super) owner: Option<OwnerHint>,
}

impl AttemptReport {
    /// Makes a report of a node that told nothing else.
    pub(super) fn new(outcome: Outcome) -> Self {
        Self {
            outcome,
            load: None,
            owner: None,
        }
    }
}

impl LostReason {
    pub(super) fn name(self) -> &'static str {
        match self {
            Self::Broken => "broken",
            Self::Foreign => "foreign",
            Self::TimedOut => "timed_out",
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
        let reasons = [Self::Broken, Self::Foreign, Self::TimedOut];
        reasons
            .into_iter()
            .find(|reason| reason.name() == text)
            .ok_or(())
    }
}
