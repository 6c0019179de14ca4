//! The budget of one thread.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;

use quetzalrack_mesh::traffic::budget::Budget;
use quetzalrack_mesh::traffic::budget::BudgetPlan;
use quetzalrack_mesh::traffic::budget::HolderId;
use quetzalrack_mesh::traffic::budget::Kind;
use tokio::sync::Notify;

use super::Charge;
use super::Holder;
use super::NoRoom;
use super::ledger::Ledger;
use crate::clock;
use crate::metrics::Metrics;

/// Grants memory and connections to holders, and tells those that are evicted.
#[derive(Debug)]
pub(crate) struct ProcessBudget {
    machine: RefCell<Budget>,
    ledger: Arc<Ledger>,
    /// How each open holder learns that it is evicted.
    evictions: RefCell<HashMap<HolderId, Rc<Notify>>>,
    metrics: Arc<Metrics>,
}

impl ProcessBudget {
    /// Makes a budget of which nothing is used.
    pub(crate) fn new(plan: BudgetPlan, metrics: Arc<Metrics>) -> Rc<Self> {
        Rc::new(Self {
            machine: RefCell::new(Budget::new(plan)),
            ledger: Arc::default(),
            evictions: RefCell::default(),
            metrics,
        })
    }

    /// Opens a holder that waits for the other side.
    pub(crate) fn open(self: &Rc<Self>, kind: Kind) -> Result<Holder, NoRoom> {
        let opened = self.machine.borrow_mut().open(clock::now(), kind);
        let Some((id, victim)) = opened else {
            self.metrics.no_room(kind);
            return Err(NoRoom);
        };
        let evicted = Rc::<Notify>::default();
        self.evictions.borrow_mut().insert(id, Rc::clone(&evicted));
        victim.inspect(|victim| self.evict(kind, *victim));
        Ok(Holder::new(Rc::clone(self), id, kind, evicted))
    }

    /// Returns how many bytes of a kind are held.
    pub(crate) fn bytes(&self, kind: Kind) -> u64 {
        self.settle(kind);
        self.machine.borrow().bytes(kind)
    }

    pub(super) fn grow(&self, id: HolderId, kind: Kind, bytes: usize) -> Result<Charge, NoRoom> {
        // Bodies of both directions share their room.
        for kind in Kind::ALL {
            self.settle(kind);
        }
        let bytes = bytes as u64;
        let verdict = self.machine.borrow_mut().grow(clock::now(), id, bytes);
        for victim in verdict.evicted {
            self.evict(kind, victim);
        }
        match verdict.is_granted {
            true => Ok(Charge::new(Arc::clone(&self.ledger), kind, bytes)),
            false => {
                self.metrics.no_room(kind);
                Err(NoRoom)
            }
        }
    }

    pub(super) fn close(&self, id: HolderId, kind: Kind) {
        self.settle(kind);
        self.machine.borrow_mut().close(id);
        self.evictions.borrow_mut().remove(&id);
    }

    /// Books what was given back.
    fn settle(&self, kind: Kind) {
        let released = self.ledger.take(kind);
        if released > 0 {
            self.machine.borrow_mut().release(kind, released);
        }
    }

    fn evict(&self, kind: Kind, victim: HolderId) {
        self.metrics.evicted(kind);
        log::info!(event = "evicted", what:% = kind, held = self.machine.borrow().bytes(kind); "");
        if let Some(evicted) = self.evictions.borrow_mut().remove(&victim) {
            evicted.notify_one();
        }
    }
}
