//! Graceful shutdown of a node.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use quetzalrack_core::intent::InForce;
use tokio::sync::watch;
use tokio::time::timeout;

use crate::control::ControlEvent;
use crate::control::ControlInbox;
use crate::shared::SharedView;
use crate::shared::TrafficControl;

/// Timeout of releasing the slices. Without a controller no node takes them over, and the leases
/// lapse well before this timeout.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(10);
/// Time allowed for answering the open requests, in addition to the longest deadline of all routes.
const FINISH_GRACE: Duration = Duration::from_secs(2);

/// Runs the steps of a graceful shutdown.
pub(super) struct NodeShutdown {
    pub(super) inbox: ControlInbox,
    pub(super) view: Arc<SharedView>,
    pub(super) traffic: Arc<dyn TrafficControl>,
    pub(super) released: watch::Receiver<bool>,
    pub(super) finished: watch::Sender<bool>,
    pub(super) started: AtomicBool,
}

impl NodeShutdown {
    /// Marks the shutdown as started; returns true only for the first call.
    pub(super) fn start(&self) -> bool {
        !self.started.swap(true, Ordering::AcqRel)
    }

    /// Returns whether the shutdown was started.
    pub(super) fn is_started(&self) -> bool {
        self.started.load(Ordering::Acquire)
    }

    /// Releases the slices, waits until every request is answered, and reports completion.
    pub(super) async fn run(&self) {
        log::info!(event = "shutdown_started"; "starting a graceful shutdown");
        self.inbox.send(ControlEvent::ShutdownRequested);
        let mut released = self.released.clone();
        let all_released = released.wait_for(|released| *released);
        if timeout(RELEASE_TIMEOUT, all_released).await.is_err() {
            log::warn!(event = "release_timed_out"; "timed out releasing the slices; their leases will lapse");
        }
        let time_limit = longest_deadline(self.view.intent.load().as_deref()) + FINISH_GRACE;
        if timeout(time_limit, self.traffic.finish()).await.is_err() {
            log::error!(event = "finish_timed_out"; "timed out waiting for open requests; aborting them");
        }
        log::info!(event = "shutdown_finished"; "finished the shutdown");
        self.finished.send_replace(true);
    }
}

fn longest_deadline(intent: Option<&InForce>) -> Duration {
    let services = intent.iter().flat_map(|intent| &intent.document.services);
    services
        .flat_map(|service| &service.routes)
        .map(|route| route.deadline_ms.as_duration())
        .max()
        .unwrap_or_default()
}
