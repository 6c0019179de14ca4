//! Shares the host's link among its connections.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::task::Waker;
use std::time::Duration;

use quetzalrack_mesh::model::LinkRate;
use quetzalrack_mesh::traffic::link::LinkQueue;
use quetzalrack_mesh::traffic::link::MessageId;
use tokio::sync::Notify;

use crate::clock;

/// The shortest sleep until a message may be written; a timer that fires more often would cost more
/// processor time than it is worth.
const MIN_SLEEP: Duration = Duration::from_millis(1);

/// Schedules the long messages of the connections that use the link.
#[derive(Debug)]
pub(crate) struct LinkPacer {
    queue: RefCell<LinkQueue>,
    wakers: RefCell<HashMap<MessageId, Waker>>,
    changed: Notify,
}

impl LinkPacer {
    /// Starts a pacer for a link; it runs until the process ends.
    pub(crate) fn spawn(rate: LinkRate) -> Rc<Self> {
        let pacer = Rc::new(Self {
            queue: RefCell::new(LinkQueue::new(rate)),
            wakers: RefCell::default(),
            changed: Notify::new(),
        });
        tokio::task::spawn_local(Rc::clone(&pacer).run());
        pacer
    }

    /// Adds a long message to the queue.
    pub(super) fn add(&self) -> MessageId {
        self.queue.borrow_mut().add()
    }

    /// Returns how many bytes of a message may be written now. If it has to wait, registers `waker`
    /// and returns `None`.
    pub(super) fn request_write(&self, message: MessageId, waker: &Waker) -> Option<usize> {
        let allowed = self.queue.borrow_mut().request_write(clock::now(), message);
        if allowed.is_none() {
            self.wakers.borrow_mut().insert(message, waker.clone());
            self.changed.notify_one();
        }
        allowed
    }

    /// Records bytes that were written.
    pub(super) fn record_written(&self, bytes: usize) {
        self.queue.borrow_mut().record_written(clock::now(), bytes);
    }

    /// Removes a message from the queue.
    pub(super) fn remove(&self, message: MessageId) {
        self.queue.borrow_mut().remove(message);
        self.wakers.borrow_mut().remove(&message);
        self.changed.notify_one();
    }

    async fn run(self: Rc<Self>) {
        loop {
            let next = self.queue.borrow_mut().next(clock::now());
            let waker = next.and_then(|(message, wait)| {
                let waker = self.wakers.borrow_mut().remove(&message)?;
                Some((wait, waker))
            });
            match waker {
                Some((wait, waker)) => {
                    tokio::time::sleep(wait.max(MIN_SLEEP)).await;
                    waker.wake();
                }
                None => self.changed.notified().await,
            }
        }
    }
}
