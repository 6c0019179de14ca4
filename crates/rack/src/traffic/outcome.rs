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
pub(super) enum Lost {
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
    Lost(Lost),
}

/// Is an outcome with what the node told along with it.
#[derive(Clone, Debug)]
pub(super) struct Report {
    pub(super) outcome: Outcome,
    pub(super) load: Option<NodeLoad>,
    /// Who owns the key by the table of the node that refused.
    pub(super) owner: Option<OwnerHint>,
}

impl Report {
    /// Makes a report of a node that told nothing else.
    pub(super) fn bare(outcome: Outcome) -> Self {
        Self {
            outcome,
            load: None,
            owner: None,
        }
    }
}

impl Lost {
    pub(super) fn name(self) -> &'static str {
        match self {
            Self::Broken => "broken",
            Self::Foreign => "foreign",
            Self::TimedOut => "timed_out",
        }
    }
}

impl fmt::Display for Lost {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

impl std::str::FromStr for Lost {
    type Err = ();

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let all = [Self::Broken, Self::Foreign, Self::TimedOut];
        all.into_iter().find(|lost| lost.name() == text).ok_or(())
    }
}
