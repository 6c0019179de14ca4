//! Requests at a process that leaves.

use std::time::Duration;

use quetzalrack_core::time::Moment;

use super::Ingress;
use super::incoming_request::IncomingRequest;
use crate::clock;
use crate::traffic::traffic_node::CLIENT_DRAIN_TIME;

/// How long before SIGKILL the last answers are given: the process ends 0.4 s before it, and they
/// need a moment to be written.
const SHUTDOWN_RESPONSE_MARGIN: Duration = Duration::from_millis(600);
impl Ingress {
    /// Returns when a client is to come back whose request comes so late to a leaving process that this
    /// would end while the request may still run.
    pub(super) fn retry_after_shutdown(&self, incoming: &IncomingRequest) -> Option<Duration> {
        let since = self.board.leaving_since()?;
        let (now, deadline_at) = (clock::now(), self.shutdown_deadline(since));
        let is_late = now >= since + CLIENT_DRAIN_TIME && incoming.deadline > deadline_at;
        is_late.then(|| deadline_at.since(now) + SHUTDOWN_RESPONSE_MARGIN)
    }

    /// Returns when the last answers are given by a process that leaves since a moment.
    fn shutdown_deadline(&self, since: Moment) -> Moment {
        since
            + self
                .settings
                .bounds
                .grace
                .saturating_sub(SHUTDOWN_RESPONSE_MARGIN)
    }

    /// Waits until the process is about to end. A request that is still somewhere in a queue then
    /// gets an answer, which promises nothing; else its client would see the connection cut.
    pub(super) async fn wait_shutdown_deadline(&self) {
        loop {
            if let Some(since) = self.board.leaving_since() {
                let end = self.shutdown_deadline(since);
                tokio::time::sleep(end.since(clock::now())).await;
                return;
            }
            self.board.changed().await;
        }
    }
}
