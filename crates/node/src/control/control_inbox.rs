//! The control thread's event queue.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::sync::mpsc;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::Sender;

use quetzalrack_core::ownership::PeerMessage;

use super::ControlEvent;
use crate::platform::PeerInbox;

/// Maximum number of datagrams queued for the control thread; excess ones are dropped because their
/// senders repeat them. Results of the node's own actions are never dropped.
const MAX_QUEUED_MESSAGES: usize = 4096;

/// Sends events to the control thread; cheap to clone.
#[derive(Clone, Debug)]
pub struct ControlInbox {
    sender: Sender<ControlEvent>,
    queued: Arc<AtomicUsize>,
}

impl ControlInbox {
    /// Creates an inbox and returns it with the receiver for the control thread.
    pub fn open() -> (Self, Receiver<ControlEvent>) {
        let (sender, receiver) = mpsc::channel();
        let queued = Arc::new(AtomicUsize::new(0));
        (Self { sender, queued }, receiver)
    }

    /// Sends one event; it is discarded if the control thread has exited.
    pub fn send(&self, event: ControlEvent) {
        let _ = self.sender.send(event);
    }

    /// Frees the queue slot of a datagram that the control thread has received.
    pub(super) fn release_slot(&self) {
        self.queued.fetch_sub(1, Ordering::Relaxed);
    }
}

impl PeerInbox for ControlInbox {
    fn deliver(&self, from: SocketAddr, message: PeerMessage) -> bool {
        if self.queued.fetch_add(1, Ordering::Relaxed) >= MAX_QUEUED_MESSAGES {
            self.queued.fetch_sub(1, Ordering::Relaxed);
            return false;
        }
        let message = Box::new(message);
        self.send(ControlEvent::Message { from, message });
        true
    }
}
