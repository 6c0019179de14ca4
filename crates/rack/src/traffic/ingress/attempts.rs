//! The attempts of one request.

use std::time::Duration;

use bytes::Bytes;
use http::Response;
use quetzalrack_core::ids::NodeName;
use quetzalrack_core::time::Moment;
use quetzalrack_mesh::traffic::NotRun;

use crate::traffic::job::Job;
use crate::traffic::outcome::Lost;

/// How long a key without an owner is waited for: keys that move have a new owner within about a
/// second, and the wait costs the caller less than coming again.
const OWNER_WAIT: Duration = Duration::from_millis(350);
/// When to come back if no server of the service is usable.
pub(super) const NOWHERE: Duration = Duration::from_millis(400);
/// Follows the attempts of one request.
pub(super) struct Attempts {
    pub(super) tried: Vec<NodeName>,
    /// How many reached a backend server.
    pub(super) sent: u32,
    /// Whether one of them may have run.
    pub(super) lost: Option<Lost>,
    /// A failure that a server answered.
    pub(super) failure: Option<Response<Bytes>>,
    /// The last refusal.
    pub(super) refusal: (NotRun, Duration),
    pub(super) owner_until: Moment,
}

impl Attempts {
    pub(super) fn new(now: Moment, job: &Job) -> Self {
        Self {
            tried: Vec::new(),
            sent: 0,
            lost: None,
            failure: None,
            refusal: (NotRun::NoServer, NOWHERE),
            owner_until: now + OWNER_WAIT.min(job.deadline.since(now) / 3),
        }
    }
}
