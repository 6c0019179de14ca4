//! State that traffic threads read without a lock.

use std::sync::atomic::AtomicBool;

use arc_swap::ArcSwap;
use arc_swap::ArcSwapOption;
use quetzalrack_core::cluster::Announcement;
use quetzalrack_core::cluster::LeaseTable;
use quetzalrack_core::cluster::RoutingTable;
use quetzalrack_core::intent::InForce;

use super::Explanations;

/// The newest routing table, leases and intent. The control thread replaces each as a whole, and
/// traffic threads read them without waiting.
#[derive(Debug, Default)]
pub struct SharedView {
    /// The routing table, which determines where requests are sent.
    pub routing: ArcSwap<RoutingTable>,
    /// The leases that this node holds.
    pub leases: ArcSwap<LeaseTable>,
    /// The intent in force; none until it is known.
    pub intent: ArcSwapOption<InForce>,
    /// The last announcement of the backend server beside this node; none while it counts as lost.
    pub announcement: ArcSwapOption<Announcement>,
    /// Whether this node is shutting down; set by the first shutdown signal and never reset.
    pub shutting_down: AtomicBool,
    /// The newest explanations of what this node did and why.
    pub explanations: Explanations,
    /// The newest explanations of refused requests; separate, because during an overload they would
    /// displace all other explanations.
    pub refusals: Explanations,
}
