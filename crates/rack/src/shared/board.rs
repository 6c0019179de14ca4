//! Where the two threads leave their news.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use arc_swap::ArcSwap;
use tokio::sync::Notify;

use super::NodeView;
use super::TrafficReport;

/// Holds the newest view and the newest report, read without locks.
#[derive(Debug, Default)]
pub struct Board {
    view: ArcSwap<NodeView>,
    changed: Notify,
    report: ArcSwap<TrafficReport>,
    leaving: AtomicBool,
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

    /// Tells the traffic that the process leaves.
    pub fn set_leaving(&self) {
        self.leaving.store(true, Ordering::Release);
    }

    /// Tells whether the process leaves.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Acquire)
    }
}
