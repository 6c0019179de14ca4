//! The attempts to serve one request.

use std::time::Duration;

use http::Response;
use quetzalrack_core::ids::NodeName;
use quetzalrack_core::time::Moment;
use quetzalrack_mesh::traffic::RefusalReason;

use crate::traffic::body::Payload;
use crate::traffic::outcome::LostReason;

/// When a client may retry if no server of the service is usable.
pub(super) const RETRY_AFTER_NO_SERVER: Duration = Duration::from_millis(400);

/// The state of all attempts to serve one request.
pub(super) struct Attempts {
    pub(super) tried_nodes: Vec<NodeName>,
    /// The nodes that have certainly no usable server now.
    pub(super) without_server: Vec<NodeName>,
    /// How often a node knew that a suspected request is to be tried elsewhere.
    pub(super) misplaced_trials: u32,
    /// How many attempts reached a backend server.
    pub(super) sent_count: u32,
    /// Why the last attempt without a response was lost, if one was; it may have run.
    pub(super) lost: Option<LostReason>,
    /// The last response of a server.
    pub(super) response: Option<Response<Payload>>,
    /// The last refusal, and when to retry.
    pub(super) last_refusal: (RefusalReason, Duration),
    /// The owner of the key that a refusing node named, until it is tried.
    pub(super) hinted_owner: Option<NodeName>,
    /// How many such hints were followed without a wait between them.
    pub(super) hints_followed: u32,
    /// When the request began to wait for an owner of its key, and how long it may wait.
    pub(super) owner_wait: Option<(Moment, Duration)>,
}

impl Attempts {
    pub(super) fn new() -> Self {
        Self {
            tried_nodes: Vec::new(),
            without_server: Vec::new(),
            misplaced_trials: 0,
            sent_count: 0,
            lost: None,
            response: None,
            last_refusal: (RefusalReason::NoServer, RETRY_AFTER_NO_SERVER),
            hinted_owner: None,
            hints_followed: 0,
            owner_wait: None,
        }
    }

    /// Records a refusal. Of several full servers, the client is told about the one that has room first.
    pub(super) fn record_refusal(&mut self, reason: RefusalReason, retry_after: Duration) {
        let (last, earliest) = self.last_refusal;
        let both_full = reason == RefusalReason::Full && last == reason;
        let earliest = both_full.then_some(earliest);
        self.last_refusal = (
            reason,
            earliest.map_or(retry_after, |earliest| earliest.min(retry_after)),
        );
    }
}
