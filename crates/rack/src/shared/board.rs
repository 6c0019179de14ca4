//! Latest state published by the control thread and the traffic thread.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use arc_swap::ArcSwap;
use arc_swap::ArcSwapOption;
use quetzalrack_core::time::Moment;
use quetzalrack_mesh::model::PlatformBounds;
use quetzalrack_mesh::traffic::ShutdownTimes;
use tokio::sync::Notify;

use super::NodeView;
use super::TrafficReport;

/// Holds the latest view and report, which are read without locks.
#[derive(Debug, Default)]
pub struct Board {
    view: ArcSwap<NodeView>,
    changed: Notify,
    report: ArcSwap<TrafficReport>,
    intent_source: ArcSwapOption<SocketAddr>,
    /// When the shutdown started, in nanoseconds of the clock; 0 before a shutdown.
    shutdown_ns: AtomicU64,
}

impl Board {
    /// Returns the latest view.
    pub fn view(&self) -> Arc<NodeView> {
        self.view.load_full()
    }

    /// Replaces the view and wakes the tasks that wait for a change.
    pub fn publish(&self, view: NodeView) {
        self.view.store(Arc::new(view));
        self.changed.notify_waiters();
    }

    /// Waits until a new view is published.
    pub async fn changed(&self) {
        self.changed.notified().await;
    }

    /// Returns the latest traffic report.
    pub fn report(&self) -> Arc<TrafficReport> {
        self.report.load_full()
    }

    /// Replaces the traffic report.
    pub fn set_report(&self, report: TrafficReport) {
        self.report.store(Arc::new(report));
    }

    /// Takes the address of a peer that has the operators' document, if a peer has offered it.
    pub fn take_intent_source(&self) -> Option<SocketAddr> {
        self.intent_source.swap(None).as_deref().copied()
    }

    /// Records the address of a peer that has the operators' document.
    pub fn set_intent_source(&self, intent_source: SocketAddr) {
        self.intent_source.store(Some(Arc::new(intent_source)));
    }

    /// Marks the process as shutting down; later calls keep the time of the first one.
    pub fn start_shutdown(&self, now: Moment) {
        let first =
            self.shutdown_ns
                .compare_exchange(0, now.0, Ordering::Release, Ordering::Relaxed);
        if first.is_err() {
            log::info!(event = "leaves_already"; "");
        }
    }

    /// Returns whether the process is shutting down.
    pub fn is_shutting_down(&self) -> bool {
        self.shutdown_start().is_some()
    }

    /// Returns when the shutdown started.
    pub fn shutdown_start(&self) -> Option<Moment> {
        let start_ns = self.shutdown_ns.load(Ordering::Acquire);
        (start_ns > 0).then_some(Moment(start_ns))
    }

    /// Returns the moments of the shutdown if there is one.
    pub fn shutdown_times(&self, bounds: &PlatformBounds) -> Option<ShutdownTimes> {
        let since = self.shutdown_start()?;
        Some(ShutdownTimes::new(since, bounds.shutdown_grace))
    }
}
