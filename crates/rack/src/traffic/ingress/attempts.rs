//! The attempts of one request.

use std::time::Duration;

use bytes::Bytes;
use http::Response;
use quetzalrack_core::ids::NodeName;
use quetzalrack_core::time::Moment;
use quetzalrack_mesh::traffic::RefusalReason;

use crate::traffic::outcome::LostReason;

/// When to come back if no server of the service is usable.
pub(super) const RETRY_AFTER_NO_SERVER: Duration = Duration::from_millis(400);
/// Follows the attempts of one request.
pub(super) struct Attempts {
    pub(super) tried_nodes: Vec<NodeName>,
    /// How many reached a backend server.
    pub(super) sent_count: u32,
    /// Whether one of them may have run.
    pub(super) lost: Option<LostReason>,
    /// A failure that a server answered.
    pub(super) failed_response: Option<Response<Bytes>>,
    /// The last refusal.
    pub(super) last_refusal: (RefusalReason, Duration),
    /// The owner of the key by the word of a node that refused, until it is tried.
    pub(super) hinted_owner: Option<NodeName>,
    /// How many such words were followed without a wait.
    pub(super) hints_followed: u32,
    /// Since when the request waits for an owner of its key, and how long it does.
    pub(super) owner_wait: Option<(Moment, Duration)>,
}

impl Attempts {
    pub(super) fn new() -> Self {
        Self {
            tried_nodes: Vec::new(),
            sent_count: 0,
            lost: None,
            failed_response: None,
            last_refusal: (RefusalReason::NoServer, RETRY_AFTER_NO_SERVER),
            hinted_owner: None,
            hints_followed: 0,
            owner_wait: None,
        }
    }
}
