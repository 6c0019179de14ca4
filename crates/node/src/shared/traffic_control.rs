//! What the control thread asks of the traffic threads.

use quetzalrack_core::boundary::BoxFuture;
use quetzalrack_core::burn::RouteSample;
use quetzalrack_core::burn::WorkSample;
use quetzalrack_core::cluster::Member;
use quetzalrack_core::ids::Fence;
use quetzalrack_core::ids::SliceId;
use quetzalrack_core::traffic::TrafficStats;

use super::Handover;

/// Is the traffic threads' side of a change of ownership.
pub trait TrafficControl: Send + Sync {
    /// Prepares a slice before its lease is published: adopts the memory handed over under
    /// `previous`, or starts an empty one that remembers nothing older than now.
    fn prepare_slice(&self, slice: &SliceId, fence: Fence, previous: Option<Fence>);

    /// Stops admitting for a slice, waits until nothing of it is in flight, and hands its memory
    /// to the successor. Resolves also when the handover fails: the successor then starts empty.
    fn drain_slice<'a>(
        &'a self,
        slice: &'a SliceId,
        fence: Fence,
        successor: Option<&'a Member>,
    ) -> BoxFuture<'a, ()>;

    /// Forgets a slice whose lease ended without a handover.
    fn forget_slice(&self, slice: &SliceId, fence: Fence);

    /// Keeps a memory that another node handed over until the matching grant arrives.
    fn receive_handover(&self, handover: Handover);

    /// Returns the current counts.
    fn measure(&self) -> TrafficStats;

    /// Returns what callers got at this node since it started, by route.
    fn route_samples(&self) -> Vec<RouteSample>;

    /// Returns what this node sent to the backend server beside it since it started.
    fn work_samples(&self) -> Vec<WorkSample>;

    /// Stops accepting and resolves when every request is answered.
    fn finish(&self) -> BoxFuture<'_, ()>;
}
