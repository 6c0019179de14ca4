//! The environment under test.

use std::collections::BTreeSet;
use std::sync::Arc;

use quetzalrack_core::document::EnvironmentDocument;
use quetzalrack_core::ids::DocumentDigest;
use quetzalrack_core::ids::ServerName;
use quetzalrack_core::ids::SliceId;
use quetzalrack_core::ids::SliceIndex;
use quetzalrack_core::ids::Version;
use quetzalrack_core::ids::ZoneName;
use quetzalrack_core::intent::InForce;
use serde_json::json;

/// Describes an environment with the same backend servers in each zone.
#[derive(Clone, Debug)]
pub struct Layout {
    pub zones: usize,
    pub services: usize,
    pub slices: u32,
    /// Number of backend servers of each service in each zone.
    pub per_zone: usize,
    pub version: u64,
    pub zones_out: BTreeSet<usize>,
    pub servers_out: BTreeSet<usize>,
    pub lease_ms: u32,
}

impl Layout {
    pub fn new(zones: usize, services: usize, slices: u32) -> Self {
        Self {
            zones,
            services,
            slices,
            per_zone: 1,
            version: 1,
            zones_out: BTreeSet::new(),
            servers_out: BTreeSet::new(),
            lease_ms: 1_200,
        }
    }

    pub fn nodes(&self) -> usize {
        self.zones * self.services * self.per_zone
    }

    /// Returns every slice.
    pub fn all_slices(&self) -> Vec<SliceId> {
        let name = |service: usize| format!("service-{service}").parse().unwrap();
        let slices = (0..self.services).flat_map(|service| {
            let slice = move |index| SliceId {
                service: name(service),
                index: SliceIndex(index),
            };
            (0..self.slices).map(slice)
        });
        slices.collect()
    }

    pub fn zone_of(&self, node: usize) -> usize {
        node % self.zones
    }

    pub fn service_of(&self, node: usize) -> usize {
        (node / self.zones) % self.services
    }

    pub fn zone_name(zone: usize) -> ZoneName {
        format!("zone-{zone}").parse().unwrap()
    }

    pub fn server_name(node: usize) -> ServerName {
        format!("server-{node}").parse().unwrap()
    }

    pub fn in_force(&self) -> Arc<InForce> {
        let service = |number: usize| {
            json!({
                "name": format!("service-{number}"),
                "divided_by_key": true,
                "slices": self.slices,
                "servers": self.zones * self.per_zone,
                "slots": 10,
                "connections": 100,
                "routes": [],
            })
        };
        let services: Vec<_> = (0..self.services).map(service).collect();
        let zones: Vec<_> = (0..self.zones).map(Self::zone_name).collect();
        let document: EnvironmentDocument = serde_json::from_value(json!({
            "environment": "trial-bed",
            "zones": zones,
            "ownership": {"lease_ms": self.lease_ms, "heartbeat_ms": self.lease_ms / 3, "margin_ms": 100},
            "services": services,
        }))
        .unwrap();
        Arc::new(InForce {
            version: Version(self.version),
            digest: DocumentDigest::of(b"trial-bed"),
            document: Arc::new(document),
            zones_out: self
                .zones_out
                .iter()
                .copied()
                .map(Self::zone_name)
                .collect(),
            servers_out: self
                .servers_out
                .iter()
                .copied()
                .map(Self::server_name)
                .collect(),
        })
    }
}
