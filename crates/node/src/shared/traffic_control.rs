//! The traffic threads' interface for the control thread.

use quetzalrack_core::boundary::BoxFuture;
use quetzalrack_core::burn::RouteSample;
use quetzalrack_core::burn::WorkSample;
use quetzalrack_core::cluster::Member;
use quetzalrack_core::ids::Fence;
use quetzalrack_core::ids::SliceId;
use quetzalrack_core::traffic::TrafficStats;
use quetzalrack_core::traffic::poison::SuspectNews;

use super::Handover;

/// Applies changes of ownership at the traffic threads and provides their statistics.
pub trait TrafficControl: Send + Sync {
    /// Prepares a slice before its lease is published: adopts the idempotency state handed over
    /// under `previous`, or starts with empty state that covers nothing older than now.
    fn prepare_slice(&self, slice: &SliceId, fence: Fence, previous: Option<Fence>);

    /// Stops admitting requests for a slice, waits until none is in flight, and hands its
    /// idempotency state to the successor. Resolves also when the handover fails; the successor
    /// then starts with empty state.
    fn drain_slice<'a>(
        &'a self,
        slice: &'a SliceId,
        fence: Fence,
        successor: Option<&'a Member>,
    ) -> BoxFuture<'a, ()>;

    /// Discards the state of a slice whose lease ended without a handover.
    fn forget_slice(&self, slice: &SliceId, fence: Fence);

    /// Keeps the state that another node handed over until the matching grant arrives.
    fn receive_handover(&self, handover: Handover);

    /// Takes what another node knows of requests under which backend servers end.
    fn receive_suspects(&self, news: &SuspectNews);

    /// Returns what this node knows of such requests.
    fn known_suspects(&self) -> SuspectNews;

    /// Returns the current statistics.
    fn stats(&self) -> TrafficStats;

    /// Returns the outcomes of requests that callers sent to this node since it started, by route.
    fn route_samples(&self) -> Vec<RouteSample>;

    /// Returns the counts of requests sent to the backend server beside this node since the node
    /// started.
    fn work_samples(&self) -> Vec<WorkSample>;

    /// Stops accepting requests and resolves when every accepted one is answered.
    fn finish(&self) -> BoxFuture<'_, ()>;
}
