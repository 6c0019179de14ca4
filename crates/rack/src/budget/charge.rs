//! Bytes that a budget has granted.

use std::sync::Arc;

use quetzalrack_mesh::traffic::budget::Kind;

use super::ledger::Ledger;

/// Bytes that are held; dropping it gives them back.
#[derive(Debug)]
pub(crate) struct Charge {
    ledger: Arc<Ledger>,
    kind: Kind,
    bytes: u64,
}

impl Charge {
    pub(super) fn new(ledger: Arc<Ledger>, kind: Kind, bytes: u64) -> Self {
        Self {
            ledger,
            kind,
            bytes,
        }
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        self.ledger.release(self.kind, self.bytes);
    }
}
