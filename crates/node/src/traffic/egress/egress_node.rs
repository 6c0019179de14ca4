//! Serving requests at the backend server beside the node.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use axum::body::Body;
use axum::http::Response;
use quetzalrack_core::boundary::Clock;
use quetzalrack_core::cluster::Announcement;
use quetzalrack_core::cluster::ServerState;
use quetzalrack_core::document::spec::RouteSpec;
use quetzalrack_core::ids::KeyHash;
use quetzalrack_core::ids::SliceId;
use quetzalrack_core::ids::ZoneName;
use quetzalrack_core::time::Moment;
use quetzalrack_core::traffic::admission::AttemptOutcome;
use quetzalrack_core::traffic::idempotency::IdempotencySettings;
use quetzalrack_core::traffic::idempotency::IdempotencyStore;
use quetzalrack_core::traffic::poison::ContentDigest;
use quetzalrack_core::traffic::poison::TrialVerdict;
use quetzalrack_core::traffic::refusal::RefusalCode;

use super::attempt;
use super::handovers::Handovers;
use super::load_counter::LoadCounter;
use super::maintenance::Maintenance;
use super::prepared_request::Grant;
use super::prepared_request::HeldSlot;
use super::prepared_request::PreparedRequest;
use super::prepared_request::ResponseOrigin;
use super::response_body::stream_body;
use super::server_client::ServerClient;
use super::server_end::server_life;
use super::slice_requests::SliceRequests;
use super::slots::Slot;
use super::slots::Slots;
use crate::shared::HandoverLink;
use crate::shared::SharedView;
use crate::traffic::hop::BufferedBody;
use crate::traffic::hop::HopRequest;
use crate::traffic::hop::buffer_body;
use crate::traffic::payload::MAX_BUFFERED_BYTES;
use crate::traffic::refusal::Refusal;
use crate::traffic::suspects::SuspectRun;
use crate::traffic::suspects::Suspects;

/// How long requests are still accepted once the backend server is out of service, until the other
/// nodes know of it; refusing them at once would use up their retry budgets.
const OUT_OF_SERVICE_GRACE: Duration = Duration::from_millis(1_500);
/// The pause before the backend server is asked again to confirm a cancellation.
const CANCEL_RETRY_DELAY: Duration = Duration::from_millis(250);

/// Sends requests to the backend server beside the node, within its limits and under the leases.
pub(in crate::traffic) struct Egress {
    pub(super) zone: ZoneName,
    pub(super) view: Arc<SharedView>,
    pub(super) clock: Arc<dyn Clock>,
    pub(super) slots: Arc<Slots>,
    pub(super) client: ServerClient,
    pub(super) slice_requests: Arc<SliceRequests>,
    pub(super) load: LoadCounter,
    pub(super) handovers: Handovers,
    /// The number of requests sent since the node started.
    pub(super) sent_count: AtomicU64,
    /// When the zone or the backend server was taken out of service; zero while it is in service.
    pub(super) out_since: AtomicU64,
    /// The backend server's incarnation that admission control was last told of.
    pub(super) incarnation: AtomicU64,
    pub(super) maintenance: Mutex<Maintenance>,
    pub(super) suspects: Arc<Suspects>,
    idempotency: Mutex<IdempotencyStore>,
}

impl Egress {
    pub(in crate::traffic) fn new(
        zone: ZoneName,
        view: Arc<SharedView>,
        clock: Arc<dyn Clock>,
        handovers: Arc<dyn HandoverLink>,
        suspects: Arc<Suspects>,
    ) -> Self {
        Self {
            zone,
            slots: Arc::new(Slots::new(Arc::clone(&clock))),
            client: ServerClient::new(),
            slice_requests: Arc::default(),
            load: LoadCounter::default(),
            handovers: Handovers::new(handovers),
            sent_count: AtomicU64::new(0),
            out_since: AtomicU64::new(0),
            incarnation: AtomicU64::new(0),
            maintenance: Mutex::default(),
            suspects,
            idempotency: Mutex::new(IdempotencyStore::new(IdempotencySettings::default())),
            view,
            clock,
        }
    }

    /// Sends a request to the backend server and returns its response or a refusal.
    pub(in crate::traffic) async fn serve(
        self: &Arc<Self>,
        hop: HopRequest,
    ) -> Result<Response<Body>, Refusal> {
        let server = self.announced_server(&hop)?;
        self.update_incarnation(&server);
        let mut grant = None;
        if hop.matched.needs_owner() {
            let (slice, key) = self.slice_of(&hop)?;
            self.load.record(&slice, key);
            grant = Some(self.grant(slice)?);
        } else if self.is_out_of_service(&server) {
            return Err(RefusalCode::OutOfService.into());
        }
        match grant {
            Some(grant) if !hop.matched.route.repeatable => {
                self.serve_non_repeatable(hop, server, grant).await
            }
            grant => self.forward(hop, server, grant).await,
        }
    }

    async fn forward(
        self: &Arc<Self>,
        hop: HopRequest,
        server: Arc<Announcement>,
        grant: Option<Grant>,
    ) -> Result<Response<Body>, Refusal> {
        let deadline = hop.deadline;
        let prepared = self.prepare(hop, &server, grant, Some(deadline)).await?;
        let started = attempt::send(self, prepared).await?;
        let (mut started, head) = self.check_response(started)?;
        match buffer_body(&mut started.response, MAX_BUFFERED_BYTES as usize).await {
            BufferedBody::Complete(body) => {
                let origin = started.held_slot.origin().clone();
                started
                    .held_slot
                    .end(AttemptOutcome::Answered(started.latency));
                Ok(self.build_response(head, &origin, Body::from(body)))
            }
            BufferedBody::Partial(first) => {
                let origin = started.held_slot.origin().clone();
                let body = stream_body(first, started.response, started.held_slot, started.latency);
                Ok(self.build_response(head, &origin, body))
            }
            BufferedBody::Broken => {
                started.held_slot.lost().await;
                Err(RefusalCode::AnswerLost.into())
            }
        }
    }

    /// Waits for a slot and builds the request. The lease's expiry is checked last, after every
    /// wait, so that a holder that was paused notices that its lease has expired.
    pub(super) async fn prepare(
        self: &Arc<Self>,
        hop: HopRequest,
        server: &Announcement,
        grant: Option<Grant>,
        cancel_at: Option<Moment>,
    ) -> Result<PreparedRequest, Refusal> {
        let slice_request = match &grant {
            Some(grant) => Some(
                self.slice_requests
                    .start(&grant.slice, grant.fence)
                    .ok_or_else(|| Refusal::not_owner(None))?,
            ),
            None => None,
        };
        let (content, deadline) = (hop.content, hop.deadline);
        let (slot, run) = self
            .acquire_slot(&hop.matched.route, content, deadline, server)
            .await?;
        let origin = ResponseOrigin::new(hop.attempt, server, grant);
        let body_exceeded = hop.payload.exceeded();
        let request = self.build_request(hop, &origin)?;
        if let Some(grant) = &origin.grant
            && self.grant(grant.slice.clone())? != *grant
        {
            return Err(Refusal::not_owner(None));
        }
        Ok(PreparedRequest {
            request,
            held_slot: HeldSlot::new(self, origin, slot, slice_request, run),
            cancel_at,
            body_exceeded,
        })
    }

    /// Waits for a slot. A request whose content is suspected takes none while it has to wait for another suspect.
    async fn acquire_slot(
        self: &Arc<Self>,
        route: &RouteSpec,
        content: Option<ContentDigest>,
        deadline: Moment,
        server: &Announcement,
    ) -> Result<(Slot, Option<SuspectRun>), Refusal> {
        loop {
            self.suspects
                .wait_for_trial(content.as_ref(), deadline)
                .await?;
            let slot = self.slots.acquire(route, deadline).await?;
            let Some(content) = content else {
                return Ok((slot, None));
            };
            let life = server_life(&server.server, server.incarnation);
            match self.suspects.try_begin(life, content, route.name.clone()) {
                Ok(run) => return Ok((slot, Some(run))),
                Err(TrialVerdict::Refuse { .. }) => return Err(RefusalCode::PoisonRequest.into()),
                Err(TrialVerdict::Send | TrialVerdict::Wait) => {}
            }
        }
    }

    /// Returns the grant under which this node may serve a slice now.
    pub(super) fn grant(&self, slice: SliceId) -> Result<Grant, Refusal> {
        let leases = self.view.leases.load();
        let lease = leases.leases.get(&slice);
        match lease.filter(|lease| lease.admits && lease.is_valid(self.clock.now())) {
            Some(lease) => Ok(Grant {
                slice,
                fence: lease.fence,
            }),
            None => {
                let routing = self.view.routing.load();
                let slices = routing.services.get(&slice.service);
                let owner = slices.and_then(|slices| slices.owners.get(&slice.index));
                Err(Refusal::not_owner(owner.cloned()))
            }
        }
    }

    /// Asks the backend server to cancel an attempt until it confirms or a new incarnation of it
    /// is announced.
    pub(super) async fn cancel_until_confirmed(&self, origin: &ResponseOrigin) {
        loop {
            if self.client.cancel(origin.address, origin.attempt).await {
                return;
            }
            tokio::time::sleep(CANCEL_RETRY_DELAY).await;
            let server = self.view.announcement.load();
            if server
                .as_ref()
                .is_some_and(|server| server.incarnation != origin.incarnation)
            {
                return;
            }
        }
    }

    pub(super) async fn sleep_until(&self, moment: Option<Moment>) {
        match moment {
            Some(moment) => tokio::time::sleep(moment.since(self.clock.now())).await,
            None => std::future::pending().await,
        }
    }

    pub(super) fn idempotency(&self) -> MutexGuard<'_, IdempotencyStore> {
        self.idempotency
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Tells whether the backend server accepts no new requests.
    fn is_out_of_service(&self, server: &Announcement) -> bool {
        let out_since = self.out_since.load(Ordering::Relaxed);
        let now = self.clock.now();
        server.state == ServerState::Draining
            || (out_since != 0 && now.since(Moment(out_since)) > OUT_OF_SERVICE_GRACE)
    }

    fn announced_server(&self, hop: &HopRequest) -> Result<Arc<Announcement>, Refusal> {
        self.view
            .announcement
            .load_full()
            .filter(|server| server.service == hop.matched.service.name)
            .ok_or_else(|| RefusalCode::NotReady.into())
    }

    /// Returns the slice of a request according to this node's routing table, if ingress found the
    /// same. While a hot key moves to another slice, the tables of two nodes may differ, and only
    /// one of the slices is right.
    fn slice_of(&self, hop: &HopRequest) -> Result<(SliceId, KeyHash), Refusal> {
        let routing = self.view.routing.load();
        let found = hop.slice_in(&routing);
        match found {
            Some(found) if hop.slice.as_ref().is_none_or(|slice| *slice == found.0) => Ok(found),
            _ => Err(Refusal::not_owner(None)),
        }
    }
}
