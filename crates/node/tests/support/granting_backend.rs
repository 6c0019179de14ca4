//! A backend server that accepts every grant that isn't outdated.

use std::collections::BTreeMap;
use std::sync::Mutex;

use quetzalrack_core::boundary::BackendControl;
use quetzalrack_core::boundary::BoxFuture;
use quetzalrack_core::boundary::GrantOrder;
use quetzalrack_core::boundary::GrantOutcome;
use quetzalrack_core::ids::Fence;
use quetzalrack_core::ids::SliceId;

/// Accepts grants and records the highest fence of each slice.
#[derive(Debug, Default)]
pub struct GrantingBackend {
    /// The highest accepted fence of each slice.
    pub taken: Mutex<BTreeMap<SliceId, Fence>>,
}

impl BackendControl for GrantingBackend {
    fn grant<'a>(&'a self, order: &'a GrantOrder) -> BoxFuture<'a, GrantOutcome> {
        let mut taken = self.taken.lock().unwrap();
        let highest = taken.entry(order.slice.clone()).or_default();
        let outcome = if order.fence < *highest {
            GrantOutcome::Outdated(*highest)
        } else {
            *highest = order.fence;
            GrantOutcome::Taken
        };
        Box::pin(async move { outcome })
    }
}
