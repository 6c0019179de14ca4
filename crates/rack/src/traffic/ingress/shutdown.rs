//! Requests that are in progress while the process shuts down.

use std::time::Duration;

use quetzalrack_core::time::Moment;

use super::Ingress;
use super::incoming_request::IncomingRequest;
use crate::clock;
use crate::traffic::traffic_node::CLIENT_DRAIN_TIME;

/// How long before SIGKILL the last responses are given: the process ends 0.4 s before it, and
/// writing them takes a moment.
const RESPONSE_MARGIN: Duration = Duration::from_millis(600);

impl Ingress {
    /// Returns when a client may retry if its request arrives so late during shutdown that the
    /// process would end while the request may still run.
    pub(super) fn retry_after_shutdown(&self, incoming: &IncomingRequest) -> Option<Duration> {
        let since = self.board.shutdown_start()?;
        let (now, shutdown_deadline) = (clock::now(), self.shutdown_deadline(since));
        let is_late = now >= since + CLIENT_DRAIN_TIME && incoming.deadline > shutdown_deadline;
        is_late.then(|| shutdown_deadline.since(now) + RESPONSE_MARGIN)
    }

    /// Returns when a process that has been shutting down since a moment gives its last responses.
    fn shutdown_deadline(&self, since: Moment) -> Moment {
        since
            + self
                .settings
                .bounds
                .shutdown_grace
                .saturating_sub(RESPONSE_MARGIN)
    }

    /// Waits until the process is about to end. A request that is still queued then gets a response
    /// that does not say whether it ran; otherwise its client would see the connection cut.
    pub(super) async fn wait_shutdown_deadline(&self) {
        loop {
            if let Some(since) = self.board.shutdown_start() {
                let end = self.shutdown_deadline(since);
                tokio::time::sleep(end.since(clock::now())).await;
                return;
            }
            self.board.changed().await;
        }
    }
}
