//! The attempts of one request.

use std::time::Duration;

use bytes::Bytes;
use http::Response;
use quetzalrack_core::ids::NodeName;
use quetzalrack_core::time::Moment;
use quetzalrack_mesh::traffic::RefusalReason;

use crate::traffic::outcome::Lost;

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
    pub(super) refusal: (RefusalReason, Duration),
    /// The owner of the key by the word of a node that refused, until it is tried.
    pub(super) named: Option<NodeName>,
    /// How many such words were followed without a wait.
    pub(super) words: u32,
    /// Since when the request waits for an owner of its key, and how long it does.
    pub(super) owner_wait: Option<(Moment, Duration)>,
}

impl Attempts {
    pub(super) fn new() -> Self {
        Self {
            tried: Vec::new(),
            sent: 0,
            lost: None,
            failure: None,
            refusal: (RefusalReason::NoServer, NOWHERE),
            named: None,
            words: 0,
            owner_wait: None,
        }
    }
}
