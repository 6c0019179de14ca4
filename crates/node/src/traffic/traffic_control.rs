//! The traffic threads' implementation of the control thread's requests.

use std::sync::atomic::Ordering;

use quetzalrack_core::boundary::BoxFuture;
use quetzalrack_core::burn::RouteSample;
use quetzalrack_core::burn::WorkSample;
use quetzalrack_core::cluster::Member;
use quetzalrack_core::ids::Fence;
use quetzalrack_core::ids::SliceId;
use quetzalrack_core::traffic::TrafficStats;
use quetzalrack_core::traffic::poison::SuspectNews;

use super::running_traffic::RunningTraffic;
use super::running_traffic::SHUTDOWN_GRACE;
use crate::shared::Handover;
use crate::shared::TrafficControl;

impl TrafficControl for RunningTraffic {
    fn prepare_slice(&self, slice: &SliceId, fence: Fence, previous: Option<Fence>) {
        self.core.egress.prepare_slice(slice, fence, previous);
    }

    fn drain_slice<'a>(
        &'a self,
        slice: &'a SliceId,
        fence: Fence,
        successor: Option<&'a Member>,
    ) -> BoxFuture<'a, ()> {
        Box::pin(self.core.egress.drain_slice(slice, fence, successor))
    }

    fn forget_slice(&self, slice: &SliceId, fence: Fence) {
        self.core.egress.forget_slice(slice, fence);
    }

    fn receive_handover(&self, handover: Handover) {
        self.core.egress.receive_handover(handover);
    }

    fn receive_suspects(&self, news: &SuspectNews) {
        self.core.suspects.receive(news);
    }

    fn known_suspects(&self) -> SuspectNews {
        self.core.suspects.all()
    }

    fn stats(&self) -> TrafficStats {
        self.core.egress.measure()
    }

    fn route_samples(&self) -> Vec<RouteSample> {
        self.core.counters.sample()
    }

    fn work_samples(&self) -> Vec<WorkSample> {
        self.core.egress.work_samples()
    }

    fn finish(&self) -> BoxFuture<'_, ()> {
        Box::pin(async move {
            self.core.shutting_down.store(true, Ordering::Release);
            tokio::time::sleep(SHUTDOWN_GRACE).await;
            self.shutdown.send_replace(true);
            let mut stopped = self.stopped.clone();
            let _ = stopped.wait_for(|stopped| *stopped).await;
            self.core.egress.wait_until_idle().await;
        })
    }
}
