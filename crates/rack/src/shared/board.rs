//! Where the two threads leave their news.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use arc_swap::ArcSwap;
use arc_swap::ArcSwapOption;
use quetzalrack_core::time::Moment;
use tokio::sync::Notify;

use super::NodeView;
use super::TrafficReport;

/// Holds the newest view and the newest report, read without locks.
#[derive(Debug, Default)]
pub struct Board {
    view: ArcSwap<NodeView>,
    changed: Notify,
    report: ArcSwap<TrafficReport>,
    intent_source: ArcSwapOption<SocketAddr>,
    /// Since when the process leaves, in nanoseconds of the clock; 0 while it does not.
    shutdown_ns: AtomicU64,
}

impl Board {
    /// Returns the newest view.
    pub fn view(&self) -> Arc<NodeView> {
        self.view.load_full()
    }

    /// Replaces the view and wakes those who wait for a change.
    pub fn publish(&self, view: NodeView) {
        self.view.store(Arc::new(view));
        self.changed.notify_waiters();
    }

    /// Waits for the next view.
    pub async fn changed(&self) {
        self.changed.notified().await;
    }

    /// Returns the newest report.
    pub fn report(&self) -> Arc<TrafficReport> {
        self.report.load_full()
    }

    /// Replaces the report.
    pub fn set_report(&self, report: TrafficReport) {
        self.report.store(Arc::new(report));
    }

    /// Takes the address of a node that knows the operators' document, if one has told it.
    pub fn take_intent_source(&self) -> Option<SocketAddr> {
        self.intent_source.swap(None).as_deref().copied()
    }

    /// Notes the address of a node that knows the operators' document.
    pub fn set_intent_source(&self, intent_source: SocketAddr) {
        self.intent_source.store(Some(Arc::new(intent_source)));
    }

    /// Tells the traffic that the process leaves from now on; told again, it leaves since the first time.
    pub fn start_shutdown(&self, now: Moment) {
        let first =
            self.shutdown_ns
                .compare_exchange(0, now.0, Ordering::Release, Ordering::Relaxed);
        if first.is_err() {
            log::info!(event = "leaves_already"; "");
        }
    }

    /// Tells whether the process leaves.
    pub fn is_shutting_down(&self) -> bool {
        self.shutdown_start().is_some()
    }

    /// Returns since when the process leaves.
    pub fn shutdown_start(&self) -> Option<Moment> {
        let since = self.shutdown_ns.load(Ordering::Acquire);
        (since > 0).then_some(Moment(since))
    }
}
