//! A request as egress sends it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;

use quetzalrack_core::cluster::Announcement;
use quetzalrack_core::ids::AttemptId;
use quetzalrack_core::ids::Fence;
use quetzalrack_core::ids::Incarnation;
use quetzalrack_core::ids::ServerName;
use quetzalrack_core::ids::SliceId;
use quetzalrack_core::time::Moment;
use quetzalrack_core::traffic::admission::AttemptOutcome;

use super::Egress;
use super::slice_book::SliceUse;
use super::slots::Slot;

/// Is the grant under which a request is sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Grant {
    pub(super) slice: SliceId,
    pub(super) fence: Fence,
}

/// Is what every answer to one request carries.
#[derive(Clone, Debug)]
pub(super) struct Origin {
    pub(super) attempt: AttemptId,
    pub(super) server: ServerName,
    pub(super) address: SocketAddr,
    pub(super) incarnation: Incarnation,
    pub(super) grant: Option<Grant>,
}

impl Origin {
    pub(super) fn new(attempt: AttemptId, server: &Announcement, grant: Option<Grant>) -> Self {
        Self {
            attempt,
            server: server.server.clone(),
            address: server.address,
            incarnation: server.incarnation,
            grant,
        }
    }
}

/// Is a slot in use by a request that was sent.
///
/// A backend server that froze with a request in hand goes on with it when it thaws, whoever has
/// stopped waiting. So a slot that is dropped before its request's end is known stays taken until
/// the backend server has confirmed the cancellation.
pub(super) struct HeldSlot {
    egress: Arc<Egress>,
    origin: Origin,
    inner: Option<Inner>,
}

struct Inner {
    slot: Slot,
    _used: Option<SliceUse>,
}

impl HeldSlot {
    pub(super) fn new(
        egress: &Arc<Egress>,
        origin: Origin,
        slot: Slot,
        used: Option<SliceUse>,
    ) -> Self {
        Self {
            egress: Arc::clone(egress),
            origin,
            inner: Some(Inner { slot, _used: used }),
        }
    }

    pub(super) fn origin(&self) -> &Origin {
        &self.origin
    }

    /// Gives the slot back: the request's end is known.
    pub(super) fn end(mut self, end: AttemptOutcome) {
        if let Some(inner) = self.inner.take() {
            inner.slot.end(end);
        }
    }
}

impl Drop for HeldSlot {
    fn drop(&mut self) {
        let Some(inner) = self.inner.take() else {
            return;
        };
        let egress = Arc::clone(&self.egress);
        let origin = self.origin.clone();
        // Dropped outside the traffic threads only while the process goes down.
        if let Ok(runtime) = tokio::runtime::Handle::try_current() {
            runtime.spawn(async move {
                egress.cancel_surely(&origin).await;
                inner.slot.end(AttemptOutcome::Abandoned);
            });
        }
    }
}

/// Is a request ready to be sent.
pub(super) struct Outgoing {
    pub(super) request: reqwest::Request,
    pub(super) held: HeldSlot,
    /// When to give up.
    pub(super) deadline: Option<Moment>,
    pub(super) exceeded: Arc<AtomicBool>,
}
