//! The open connections of a pool.

use std::cell::RefCell;
use std::rc::Rc;

use quetzalrack_core::time::Moment;

/// A shared list of the times at which the open connections were opened.
#[derive(Clone, Debug, Default)]
pub(super) struct OpenConnections(Rc<RefCell<Vec<Moment>>>);

/// A listed connection; dropping it removes the connection.
#[derive(Debug)]
pub(super) struct OpenConnection {
    list: OpenConnections,
    at: Moment,
}

impl OpenConnections {
    /// Lists a connection until the guard is dropped.
    pub(super) fn enter(&self, at: Moment) -> OpenConnection {
        self.0.borrow_mut().push(at);
        let list = self.clone();
        OpenConnection { list, at }
    }

    /// Returns how many connections are open.
    pub(super) fn count(&self) -> usize {
        self.0.borrow().len()
    }

    /// Returns whether a connection that was opened before a moment is open.
    pub(super) fn has_older(&self, than: Moment) -> bool {
        self.0.borrow().iter().any(|at| *at < than)
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        let mut list = self.list.0.borrow_mut();
        let index = list.iter().position(|at| *at == self.at);
        index.map(|index| list.swap_remove(index));
    }
}
