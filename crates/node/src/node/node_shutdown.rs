//! Leaving without cutting a request.

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

/// How long the slices may take to be released. Without a controller nobody takes them, and the
/// leases lapse by themselves long before.
const RELEASE_BOUND: Duration = Duration::from_secs(10);
/// How much longer than the longest deadline of any route the requests may take to be answered.
const FINISH_GRACE: Duration = Duration::from_secs(2);

/// Runs the steps of a shutdown in their order.
pub(super) struct NodeShutdown {
    pub(super) inbox: ControlInbox,
    pub(super) view: Arc<SharedView>,
    pub(super) traffic: Arc<dyn TrafficControl>,
    pub(super) released: watch::Receiver<bool>,
    pub(super) finished: watch::Sender<bool>,
    pub(super) started: AtomicBool,
}

impl NodeShutdown {
    /// Tells, once, that the shutdown is to be run.
    pub(super) fn begin(&self) -> bool {
        !self.started.swap(true, Ordering::AcqRel)
    }

    /// Tells whether the shutdown was begun.
    pub(super) fn is_started(&self) -> bool {
        self.started.load(Ordering::Acquire)
    }

    /// Releases the slices, then answers every request, then tells that all is finished.
    pub(super) async fn run(&self) {
        log::info!(event = "shutdown_started"; "leaving");
        self.inbox.send(ControlEvent::ShutdownRequested);
        let mut released = self.released.clone();
        let all_released = released.wait_for(|released| *released);
        if timeout(RELEASE_BOUND, all_released).await.is_err() {
            log::warn!(event = "release_timed_out"; "leases are left to lapse");
        }
        let bound = longest_deadline(self.view.intent.load().as_deref()) + FINISH_GRACE;
        if timeout(bound, self.traffic.finish()).await.is_err() {
            log::error!(event = "finish_timed_out"; "requests past their deadline are cut");
        }
        log::info!(event = "shutdown_finished"; "every request is answered");
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
