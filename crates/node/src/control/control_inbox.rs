//! The way to the control thread.

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

/// Bounds the datagrams that wait for the control thread. What a flood displaces is repeated by
/// its sender; results of the node's own work are never dropped.
const MOST_WAITING: usize = 4096;

/// Sends events to the control thread; cheap to clone.
#[derive(Clone, Debug)]
pub struct ControlInbox {
    sender: Sender<ControlEvent>,
    waiting: Arc<AtomicUsize>,
}

impl ControlInbox {
    /// Opens an inbox and returns it with the end that the control thread reads.
    pub fn open() -> (Self, Receiver<ControlEvent>) {
        let (sender, receiver) = mpsc::channel();
        let waiting = Arc::new(AtomicUsize::new(0));
        (Self { sender, waiting }, receiver)
    }

    /// Sends one event; after the control thread has ended, nobody needs it.
    pub fn send(&self, event: ControlEvent) {
        let _ = self.sender.send(event);
    }

    /// Makes room for another datagram after one was taken.
    pub(super) fn release_slot(&self) {
        self.waiting.fetch_sub(1, Ordering::Relaxed);
    }
}

impl PeerInbox for ControlInbox {
    fn deliver(&self, from: SocketAddr, message: PeerMessage) -> bool {
        if self.waiting.fetch_add(1, Ordering::Relaxed) >= MOST_WAITING {
            self.waiting.fetch_sub(1, Ordering::Relaxed);
            return false;
        }
        let message = Box::new(message);
        self.send(ControlEvent::Message { from, message });
        true
    }
}
