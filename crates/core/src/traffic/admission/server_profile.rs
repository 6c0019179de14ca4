//! What a node knows of its backend server.

use std::time::Duration;

use crate::cluster::Announcement;
use crate::cluster::ServerState;
use crate::document::spec::ServiceSpec;
use crate::ids::Incarnation;
use crate::ids::SlotCount;

/// A backend server's announcement combined with the specification of its service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerProfile {
    /// The backend server's incarnation.
    pub incarnation: Incarnation,
    /// The state it announced.
    pub state: ServerState,
    /// How many requests it runs at once when warm.
    pub slots: SlotCount,
    /// How many it runs at once in cold start.
    pub cold_slots: SlotCount,
    /// How long it takes to warm up under that load.
    pub warm_up: Duration,
}

impl ServerProfile {
    /// Combines an announcement with the specification of its service. The smaller number of slots
    /// applies where they differ.
    pub fn new(announcement: &Announcement, service: &ServiceSpec) -> Self {
        let slots = announcement.slots.min(service.slots).max(SlotCount(1));
        Self {
            incarnation: announcement.incarnation,
            state: announcement.state,
            slots,
            cold_slots: service.cold_slots.clamp(SlotCount(1), slots),
            warm_up: service.warm_up_ms.as_duration(),
        }
    }
}
