//! What the node knows of the backend server beside it.

use std::time::Duration;

use crate::cluster::Announcement;
use crate::cluster::ServerState;
use crate::document::spec::ServiceSpec;
use crate::ids::Incarnation;
use crate::ids::SlotCount;

/// Is what a backend server announced, together with what the document says of its service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerProfile {
    /// The backend server's life.
    pub incarnation: Incarnation,
    /// The condition it announced.
    pub state: ServerState,
    /// How many requests it works on at once when warm.
    pub slots: SlotCount,
    /// How many it bears in cold start.
    pub cold_slots: SlotCount,
    /// How long it takes to warm up under that load.
    pub warm_up: Duration,
}

impl ServerProfile {
    /// Puts an announcement and its service's description together; the smaller number of slots
    /// holds where they differ.
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
