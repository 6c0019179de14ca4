//! Counts of ownership changes at one node.

use std::collections::BTreeMap;

use quetzalrack_core::burn::SliceSample;
use quetzalrack_core::ids::ServiceName;

/// Counts of ownership changes by service since the node started.
#[derive(Clone, Debug, Default)]
pub struct SliceCounts {
    services: BTreeMap<ServiceName, SliceSample>,
}

impl SliceCounts {
    /// Returns the counts of one service for updating.
    pub fn of(&mut self, service: &ServiceName) -> &mut SliceSample {
        self.services
            .entry(service.clone())
            .or_insert_with(|| SliceSample {
                service: service.clone(),
                granted: 0,
                released: 0,
                lapsed: 0,
                unavailable_ms: 0,
            })
    }

    /// Returns the counts of every service.
    pub fn samples(&self) -> Vec<SliceSample> {
        self.services.values().cloned().collect()
    }
}
