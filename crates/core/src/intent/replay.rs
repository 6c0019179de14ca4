//! The verdict on one order, the same for every reader.

use std::sync::Arc;

use super::AcceptedOrder;
use super::Order;
use super::OrderBody;
use super::Rejection;
use super::SignedOrder;
use super::Stage;
use super::StageState;
use super::document_store::DocumentStore;
use super::refused_order::RefusedOrder;
use super::snapshot_body::SnapshotBody;
use super::snapshot_order::SnapshotOrder;
use crate::document::EnvironmentDocument;
use crate::ids::DocumentDigest;
use crate::ids::EnvironmentName;
use crate::ids::Offset;
use crate::ids::RecordId;
use crate::ids::Version;
use crate::security::KeyRing;
use crate::time::WallTime;

/// The greatest number of backend servers out of service in one stage.
const MAX_SERVERS_OUT: usize = 4_096;

/// Is the outcome of all records before one offset.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct Replay {
    pub trial: StageState,
    pub production: StageState,
    pub documents: DocumentStore,
    pub refused: Vec<RefusedOrder>,
}

impl Replay {
    pub fn stage(&self, stage: Stage) -> &StageState {
        match stage {
            Stage::Trial => &self.trial,
            Stage::Production => &self.production,
        }
    }

    /// Tells whether any order was ever accepted.
    pub fn is_empty(&self) -> bool {
        self.trial.version() == Version::default()
            && self.production.version() == Version::default()
    }

    /// Tells whether another replay is behind this one in some stage.
    pub fn is_ahead_of(&self, other: &Self) -> bool {
        self.trial.version() > other.trial.version()
            || self.production.version() > other.production.version()
    }

    /// Writes the replay for a snapshot.
    pub fn to_body(
        &self,
        environment: EnvironmentName,
        covered: Offset,
        at: WallTime,
    ) -> SnapshotBody {
        SnapshotBody {
            environment,
            covered,
            at,
            trial: self
                .trial
                .history()
                .iter()
                .map(SnapshotOrder::from)
                .collect(),
            production: self
                .production
                .history()
                .iter()
                .map(SnapshotOrder::from)
                .collect(),
            documents: self.documents.texts(),
            refused: self.refused.clone(),
        }
    }

    /// Reads a replay from a snapshot; none when an order in it was not made by an operator, is
    /// out of order, or lacks its document.
    pub fn from_body(body: &SnapshotBody, keys: &KeyRing) -> Option<Self> {
        let mut replay = Self::default();
        for (stage, orders) in [
            (Stage::Trial, &body.trial),
            (Stage::Production, &body.production),
        ] {
            for kept in orders {
                let order = kept.open(&body.environment, keys)?;
                let is_next = order.body.order.stage() == stage
                    && order.version() > replay.stage(stage).version();
                is_next.then(|| replay.accept(order))?;
            }
        }
        for text in &body.documents {
            let digest = DocumentDigest::of(text.as_bytes());
            let document = open_document(&body.environment, text, digest)?;
            replay.documents.insert(text, document);
        }
        let mut digests = replay.trial.digests().chain(replay.production.digests());
        let is_whole = digests.all(|digest| replay.documents.document(digest).is_some());
        drop(digests);
        replay.refused = body.refused.clone();
        replay.forget_old();
        is_whole.then_some(replay)
    }

    /// Accepts or rejects an authentic order.
    pub fn decide(
        &mut self,
        environment: &EnvironmentName,
        offset: Offset,
        signed: &SignedOrder,
        body: OrderBody,
    ) -> Result<(), Rejection> {
        if self.has(body.id) {
            return Err(Rejection::Duplicate);
        }
        if let Err(rejection) = self.check(environment, signed, &body) {
            self.refuse(&body);
            return Err(rejection);
        }
        self.accept(AcceptedOrder {
            offset,
            body,
            signed: signed.without_document(),
        });
        Ok(())
    }

    /// Adds an order that is known to be accepted.
    pub fn accept(&mut self, order: AcceptedOrder) {
        match order.body.order.stage() {
            Stage::Trial => self.trial.accept(order),
            Stage::Production => self.production.accept(order),
        }
        self.forget_old();
    }

    fn has(&self, id: RecordId) -> bool {
        self.trial.has(id)
            || self.production.has(id)
            || self.refused.iter().any(|refused| refused.id == id)
    }

    fn check(
        &mut self,
        environment: &EnvironmentName,
        signed: &SignedOrder,
        body: &OrderBody,
    ) -> Result<(), Rejection> {
        if body.environment != *environment {
            return Err(Rejection::ForeignEnvironment);
        }
        if body.why.len() > OrderBody::MAX_WHY {
            return Err(Rejection::TooLarge);
        }
        self.check_base(body)?;
        self.check_order(environment, signed, &body.order)
    }

    fn check_base(&self, body: &OrderBody) -> Result<(), Rejection> {
        let stage = self.stage(body.order.stage());
        let current = stage.version();
        if body.base == current {
            return Ok(());
        }
        Err(Rejection::WrongBase {
            base: body.base,
            current,
            winner: stage.order_of(body.base.next()).map(Box::new),
        })
    }

    fn check_order(
        &mut self,
        environment: &EnvironmentName,
        signed: &SignedOrder,
        order: &Order,
    ) -> Result<(), Rejection> {
        let state = self.stage(order.stage());
        match order {
            Order::Publish { digest } => {
                let text = signed.document.as_deref().unwrap_or_default();
                let document =
                    open_document(environment, text, *digest).ok_or(Rejection::InvalidDocument)?;
                self.documents.insert(text, document);
                Ok(())
            }
            Order::Promote { digest } if !self.trial.digests().any(|kept| kept == *digest) => {
                Err(Rejection::NotInTrial { digest: *digest })
            }
            Order::Rollback { digest, .. } if !state.digests().any(|kept| kept == *digest) => {
                Err(Rejection::NotInHistory { digest: *digest })
            }
            Order::Promote { .. } | Order::Rollback { .. } => Ok(()),
            _ if state.digest().is_none() => Err(Rejection::NothingInForce),
            Order::ZoneOut { zone, .. } | Order::ZoneIn { zone, .. } => {
                let document = state
                    .digest()
                    .and_then(|digest| self.documents.document(digest));
                let is_known = document.is_some_and(|document| document.zones.contains(zone));
                match is_known || state.zones_out().contains(zone) {
                    true => Ok(()),
                    false => Err(Rejection::UnknownZone { zone: zone.clone() }),
                }
            }
            Order::ServerOut { .. } if state.servers_out().len() >= MAX_SERVERS_OUT => {
                Err(Rejection::TooLarge)
            }
            Order::ServerOut { .. } | Order::ServerIn { .. } => Ok(()),
        }
    }

    fn refuse(&mut self, body: &OrderBody) {
        self.refused.push(RefusedOrder {
            id: body.id,
            stage: body.order.stage(),
            base: body.base,
        });
        self.forget_old();
    }

    fn forget_old(&mut self) {
        let trial = self.trial.version();
        let production = self.production.version();
        self.refused.retain(|refused| match refused.stage {
            Stage::Trial => refused.base >= trial,
            Stage::Production => refused.base >= production,
        });
        let wanted = self
            .trial
            .digests()
            .chain(self.production.digests())
            .collect();
        self.documents.retain(&wanted);
    }
}

/// Opens a document that an order names; none if it has errors, is another one or describes
/// another environment.
pub(super) fn open_document(
    environment: &EnvironmentName,
    text: &str,
    digest: DocumentDigest,
) -> Option<Arc<EnvironmentDocument>> {
    if DocumentDigest::of(text.as_bytes()) != digest {
        return None;
    }
    let document = crate::document::open(text.as_bytes())?;
    (document.environment == *environment).then_some(document)
}
