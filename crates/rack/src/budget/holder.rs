//! One holder of a budget.

use std::rc::Rc;

use quetzalrack_mesh::traffic::budget::HolderId;
use quetzalrack_mesh::traffic::budget::Kind;
use tokio::sync::Notify;

use super::Charge;
use super::ProcessBudget;

/// The budget has no room for more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
#[error("no room for more")]
pub(crate) struct NoRoom;

/// A body or a connection that holds memory; dropping it closes it.
#[derive(Debug)]
pub(crate) struct Holder {
    budget: Rc<ProcessBudget>,
    id: HolderId,
    kind: Kind,
    evicted: Rc<Notify>,
}

impl Holder {
    pub(super) fn new(
        budget: Rc<ProcessBudget>,
        id: HolderId,
        kind: Kind,
        evicted: Rc<Notify>,
    ) -> Self {
        Self {
            budget,
            id,
            kind,
            evicted,
        }
    }

    /// Charges more bytes to the budget.
    pub(crate) fn charge(&self, bytes: usize) -> Result<Charge, NoRoom> {
        self.budget.grow(self.id, self.kind, bytes)
    }

    /// Waits until it has to give up what it holds.
    pub(crate) async fn evicted(&self) {
        self.evicted.notified().await;
    }
}

impl Drop for Holder {
    fn drop(&mut self) {
        self.budget.close(self.id, self.kind);
    }
}
