//! Counts connections and requests that are in progress.

use std::cell::Cell;
use std::rc::Rc;

/// A shared count of connections or requests.
#[derive(Clone, Debug, Default)]
pub(in crate::traffic) struct ActiveCounter(Rc<Cell<usize>>);

/// A counted connection or request; dropping it decrements the count.
#[derive(Debug)]
pub(in crate::traffic) struct ActiveGuard(Rc<Cell<usize>>);

impl ActiveCounter {
    /// Increments the count until the guard is dropped.
    pub(in crate::traffic) fn enter(&self) -> ActiveGuard {
        self.0.set(self.0.get() + 1);
        ActiveGuard(Rc::clone(&self.0))
    }

    /// Returns the count.
    pub(in crate::traffic) fn count(&self) -> usize {
        self.0.get()
    }
}

impl Drop for ActiveGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}
