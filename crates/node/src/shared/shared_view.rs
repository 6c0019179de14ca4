//! The views that traffic threads read without a lock.

use std::sync::atomic::AtomicBool;

use arc_swap::ArcSwap;
use arc_swap::ArcSwapOption;
use quetzalrack_core::cluster::Announcement;
use quetzalrack_core::cluster::LeaseTable;
use quetzalrack_core::cluster::RoutingTable;
use quetzalrack_core::intent::InForce;

use super::Explanations;

/// Holds the newest immutable views; the control thread replaces them whole, traffic threads read
/// them without waiting.
#[derive(Debug, Default)]
pub struct SharedView {
    /// Where requests go.
    pub routing: ArcSwap<RoutingTable>,
    /// The leases this node holds.
    pub leases: ArcSwap<LeaseTable>,
    /// The intent in force, once known.
    pub intent: ArcSwapOption<InForce>,
    /// What the backend server beside this node last announced; none while it is silent.
    pub announcement: ArcSwapOption<Announcement>,
    /// Whether this node is leaving; set once by the first shutdown signal.
    pub shutting_down: AtomicBool,
    /// What this node did and why, the newest entries.
    pub explanations: Explanations,
    /// Why requests were refused, the newest entries; kept apart, because an overload would push
    /// everything else out of a shared memory.
    pub refusals: Explanations,
}
