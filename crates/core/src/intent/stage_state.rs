//! The accepted orders of one stage.

use std::collections::BTreeSet;

use super::AcceptedOrder;
use super::Order;
use super::OrderSummary;
use crate::ids::DocumentDigest;
use crate::ids::RecordId;
use crate::ids::ServerName;
use crate::ids::Version;
use crate::ids::ZoneName;

/// How many of the newest orders are kept for history.
const KEPT_ORDERS: usize = 32;
/// How many of the newest orders that put a document in force are kept, with the documents.
const KEPT_DOCUMENTS: usize = 8;

/// Is what the accepted orders of one stage led to.
///
/// Only some orders are kept: the newest, and older ones that still have an effect. Which ones
/// depends on the accepted orders alone, never on where a reader started, so that every reader
/// keeps the same.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StageState {
    kept: Vec<AcceptedOrder>,
    zones: BTreeSet<ZoneName>,
    servers: BTreeSet<ServerName>,
}

impl StageState {
    /// Returns the version in force, zero before the first order.
    pub fn version(&self) -> Version {
        self.kept
            .last()
            .map_or(Version::default(), AcceptedOrder::version)
    }

    /// Returns the digest of the document in force.
    pub fn digest(&self) -> Option<DocumentDigest> {
        self.kept
            .iter()
            .rev()
            .find_map(|kept| kept.body.order.digest())
    }

    /// Returns the availability zones out of service.
    pub fn zones_out(&self) -> &BTreeSet<ZoneName> {
        &self.zones
    }

    /// Returns the backend servers out of service.
    pub fn servers_out(&self) -> &BTreeSet<ServerName> {
        &self.servers
    }

    /// Returns the kept orders, oldest first.
    pub fn history(&self) -> &[AcceptedOrder] {
        &self.kept
    }

    /// Returns the digests of the documents that kept orders put in force.
    pub fn digests(&self) -> impl Iterator<Item = DocumentDigest> {
        self.kept.iter().filter_map(|kept| kept.body.order.digest())
    }

    /// Finds the order that made a version.
    pub fn order_of(&self, version: Version) -> Option<OrderSummary> {
        self.kept
            .iter()
            .find(|kept| kept.version() == version)
            .map(|kept| OrderSummary::from(&kept.body))
    }

    pub(super) fn has(&self, id: RecordId) -> bool {
        self.kept.iter().any(|kept| kept.body.id == id)
    }

    pub(super) fn accept(&mut self, order: AcceptedOrder) {
        self.apply(&order.body.order);
        self.kept.push(order);
        self.forget_old();
    }

    fn apply(&mut self, order: &Order) {
        match order {
            Order::ZoneOut { zone, .. } => {
                self.zones.insert(zone.clone());
            }
            Order::ZoneIn { zone, .. } => {
                self.zones.remove(zone);
            }
            Order::ServerOut { server, .. } => {
                self.servers.insert(server.clone());
            }
            Order::ServerIn { server, .. } => {
                self.servers.remove(server);
            }
            Order::Publish { .. } | Order::Promote { .. } | Order::Rollback { .. } => {}
        }
    }

    fn forget_old(&mut self) {
        let first_new = self.kept.len().saturating_sub(KEPT_ORDERS);
        let mut documents = 0;
        let mut zones = self.zones.clone();
        let mut servers = self.servers.clone();
        let mut needed = Vec::with_capacity(self.kept.len());
        for (index, kept) in self.kept.iter().enumerate().rev() {
            // Going back in time, only the newest order for a zone or server out is found there.
            let has_effect = match &kept.body.order {
                Order::ZoneOut { zone, .. } => zones.remove(zone),
                Order::ServerOut { server, .. } => servers.remove(server),
                Order::Publish { .. } | Order::Promote { .. } | Order::Rollback { .. } => {
                    documents += 1;
                    documents <= KEPT_DOCUMENTS
                }
                Order::ZoneIn { .. } | Order::ServerIn { .. } => false,
            };
            needed.push(index >= first_new || has_effect);
        }
        let mut needed = needed.into_iter().rev();
        self.kept.retain(|_| needed.next().unwrap_or(true));
    }
}
