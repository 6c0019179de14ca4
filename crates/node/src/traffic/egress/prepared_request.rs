//! A request to the backend server and the slot that it holds.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;

use http::Request;
use quetzalrack_core::cluster::Announcement;
use quetzalrack_core::ids::AttemptId;
use quetzalrack_core::ids::Fence;
use quetzalrack_core::ids::Incarnation;
use quetzalrack_core::ids::ServerName;
use quetzalrack_core::ids::SliceId;
use quetzalrack_core::time::Moment;
use quetzalrack_core::traffic::admission::AttemptOutcome;
use reqwest::Body;

use super::Egress;
use super::slice_requests::SliceRequest;
use super::slots::Slot;
use crate::traffic::suspects::SuspectRun;

/// The grant under which a request is sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Grant {
    pub(super) slice: SliceId,
    pub(super) fence: Fence,
}

/// The attempt, backend server and grant that the headers of a response name.
#[derive(Clone, Debug)]
pub(super) struct ResponseOrigin {
    pub(super) attempt: AttemptId,
    pub(super) server: ServerName,
    pub(super) address: SocketAddr,
    pub(super) incarnation: Incarnation,
    pub(super) grant: Option<Grant>,
}

impl ResponseOrigin {
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

/// A slot in use by a request that was sent.
///
/// A backend server that was frozen while it ran a request continues with it afterwards, even if
/// nobody waits for the response. A slot that is dropped before its request is known to have ended
/// therefore stays in use until the backend server has confirmed the cancellation.
pub(super) struct HeldSlot {
    egress: Arc<Egress>,
    origin: ResponseOrigin,
    inner: Option<Inner>,
}

struct Inner {
    slot: Slot,
    _slice_request: Option<SliceRequest>,
    run: Option<SuspectRun>,
}

impl HeldSlot {
    pub(super) fn new(
        egress: &Arc<Egress>,
        origin: ResponseOrigin,
        slot: Slot,
        slice_request: Option<SliceRequest>,
        run: Option<SuspectRun>,
    ) -> Self {
        Self {
            egress: Arc::clone(egress),
            origin,
            inner: Some(Inner {
                slot,
                _slice_request: slice_request,
                run,
            }),
        }
    }

    pub(super) fn origin(&self) -> &ResponseOrigin {
        &self.origin
    }

    /// Releases the slot of a request whose outcome is known.
    pub(super) fn end(mut self, outcome: AttemptOutcome) {
        if let Some(inner) = self.inner.take() {
            match (inner.run, outcome) {
                (Some(run), AttemptOutcome::Answered(_) | AttemptOutcome::Failed) => run.answered(),
                (Some(run), AttemptOutcome::Shed | AttemptOutcome::Unreachable) => run.not_run(),
                // Nobody waits for the response any more.
                (run, _) => drop(run),
            }
            inner.slot.end(outcome);
        }
    }

    /// Releases the slot of a request whose response was lost, after looking whether the backend server ended.
    pub(super) async fn lost(self) {
        self.egress.check_server(&self.origin).await;
        self.end(AttemptOutcome::Lost);
    }
}

impl Drop for HeldSlot {
    fn drop(&mut self) {
        let Some(inner) = self.inner.take() else {
            return;
        };
        let egress = Arc::clone(&self.egress);
        let origin = self.origin.clone();
        // There is no runtime only while the process shuts down.
        if let Ok(runtime) = tokio::runtime::Handle::try_current() {
            runtime.spawn(async move {
                egress.cancel_until_confirmed(&origin).await;
                inner.slot.end(AttemptOutcome::Abandoned);
            });
        }
    }
}

/// A request that is ready to be sent.
pub(super) struct PreparedRequest {
    pub(super) request: Request<Body>,
    pub(super) held_slot: HeldSlot,
    /// When to cancel the request.
    pub(super) cancel_at: Option<Moment>,
    pub(super) body_exceeded: Arc<AtomicBool>,
}
