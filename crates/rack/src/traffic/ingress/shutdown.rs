//! Requests that are in progress while the process shuts down.

use std::time::Duration;

use http::Response;
use quetzalrack_core::time::Moment;
use quetzalrack_mesh::model::Route;
use quetzalrack_mesh::traffic::ShutdownTimes;

use super::Ingress;
use super::client_response::not_run_response;
use super::incoming_request::IncomingRequest;
use crate::clock;
use crate::traffic::body::Payload;

impl Ingress {
    /// Returns the moments of the shutdown if there is one.
    fn shutdown_times(&self) -> Option<ShutdownTimes> {
        self.board.shutdown_times(&self.settings.bounds)
    }

    /// Returns when a client may retry if its request arrives so late during shutdown that the
    /// process would end while the request may still run.
    pub(super) fn retry_after_shutdown(&self, incoming: &IncomingRequest) -> Option<Duration> {
        let (times, now) = (self.shutdown_times()?, clock::now());
        let is_late = !times.is_taken(now, incoming.deadline);
        is_late.then(|| times.retry_after(now))
    }

    /// Refuses a request whose body is not whole when the process is about to end.
    pub(super) fn refuse_unread(&self, route: &Route, arrived: Moment) -> Response<Payload> {
        let now = clock::now();
        let retry_after = self.shutdown_times().map(|times| times.retry_after(now));
        let response = not_run_response(retry_after.unwrap_or_default());
        let (name, status) = (route.name.as_str(), response.status().as_u16());
        log::info!(event = "body_unread", route = name, after_ms = now.since(arrived).as_millis() as u64; "");
        self.metrics.answered(name, status, now.since(arrived));
        response
    }

    /// Returns when a client may retry if its request has waited so long that the process would end while
    /// the request may still run.
    pub(super) fn retry_after_wait(&self, incoming: &IncomingRequest) -> Option<Duration> {
        let (times, now) = (self.shutdown_times()?, clock::now());
        let is_late = !times.may_send(now, incoming.deadline);
        is_late.then(|| times.retry_after(now))
    }

    /// Waits until the process is about to end. A request that is still queued then gets a response
    /// that does not say whether it ran; otherwise its client would see the connection cut.
    pub(super) async fn wait_shutdown_deadline(&self) {
        loop {
            if let Some(times) = self.shutdown_times() {
                tokio::time::sleep(times.last_response().since(clock::now())).await;
                return;
            }
            self.board.changed().await;
        }
    }
}
