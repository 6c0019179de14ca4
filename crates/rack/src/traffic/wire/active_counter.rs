//! Counting what is open.

use std::cell::Cell;
use std::rc::Rc;

/// Counts connections or requests for as long as each lasts.
#[derive(Clone, Debug, Default)]
pub(in crate::traffic) struct ActiveCounter(Rc<Cell<usize>>);

/// Is one of them; dropped, it counts no more.
#[derive(Debug)]
pub(in crate::traffic) struct ActiveGuard(Rc<Cell<usize>>);

impl ActiveCounter {
    /// Counts one more.
    pub(in crate::traffic) fn enter(&self) -> ActiveGuard {
        self.0.set(self.0.get() + 1);
        ActiveGuard(Rc::clone(&self.0))
    }

    /// Returns how many there are.
    pub(in crate::traffic) fn count(&self) -> usize {
        self.0.get()
    }
}

impl Drop for ActiveGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}
