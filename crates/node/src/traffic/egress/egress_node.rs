//! Serving requests by the backend server beside the node.

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
use quetzalrack_core::ids::KeyHash;
use quetzalrack_core::ids::SliceId;
use quetzalrack_core::ids::ZoneName;
use quetzalrack_core::time::Moment;
use quetzalrack_core::traffic::admission::AttemptOutcome;
use quetzalrack_core::traffic::idempotency::IdempotencySettings;
use quetzalrack_core::traffic::idempotency::IdempotencyStore;
use quetzalrack_core::traffic::refusal::RefusalCode;

use super::answer_body::passing_body;
use super::attempt;
use super::backend_link::BackendLink;
use super::load_counter::LoadCounter;
use super::served::Grant;
use super::served::HeldSlot;
use super::served::Origin;
use super::served::Outgoing;
use super::slice_book::SliceBook;
use super::slice_moves::Handovers;
use super::slots::Slots;
use super::upkeep::Upkeep;
use crate::shared::HandoverLink;
use crate::shared::SharedView;
use crate::traffic::hop::HopRequest;
use crate::traffic::hop::ReadAhead;
use crate::traffic::hop::read_ahead;
use crate::traffic::payload::BUFFERED;
use crate::traffic::refusal::Refusal;

/// How long work for a backend server that is out of service is still taken, while the other nodes
/// learn of it; refusing it at once would spend their retry budgets.
const OUT_GRACE: Duration = Duration::from_millis(1_500);
/// How long the backend server is asked again to confirm a cancellation.
const CANCEL_PAUSE: Duration = Duration::from_millis(250);

/// Sends requests to the backend server beside the node, within its limits and under the leases.
pub(in crate::traffic) struct Egress {
    pub(super) zone: ZoneName,
    pub(super) view: Arc<SharedView>,
    pub(super) clock: Arc<dyn Clock>,
    pub(super) slots: Arc<Slots>,
    pub(super) link: BackendLink,
    pub(super) book: Arc<SliceBook>,
    pub(super) load: LoadCounter,
    pub(super) handovers: Handovers,
    /// How many requests were sent since the node started.
    pub(super) sent: AtomicU64,
    /// Since when the zone or the backend server is out of service; zero while it is in.
    pub(super) out_since: AtomicU64,
    /// The life of the backend server that admission knows.
    pub(super) life: AtomicU64,
    pub(super) upkeep: Mutex<Upkeep>,
    gate: Mutex<IdempotencyStore>,
}

impl Egress {
    pub(in crate::traffic) fn new(
        zone: ZoneName,
        view: Arc<SharedView>,
        clock: Arc<dyn Clock>,
        handovers: Arc<dyn HandoverLink>,
    ) -> Result<Self, reqwest::Error> {
        Ok(Self {
            zone,
            slots: Arc::new(Slots::new(Arc::clone(&clock))),
            link: BackendLink::new()?,
            book: Arc::default(),
            load: LoadCounter::default(),
            handovers: Handovers::new(handovers),
            sent: AtomicU64::new(0),
            out_since: AtomicU64::new(0),
            life: AtomicU64::new(0),
            upkeep: Mutex::default(),
            gate: Mutex::new(IdempotencyStore::new(IdempotencySettings::default())),
            view,
            clock,
        })
    }

    /// Answers a request by the backend server, or says why not.
    pub(in crate::traffic) async fn serve(
        self: &Arc<Self>,
        hop: HopRequest,
    ) -> Result<Response<Body>, Refusal> {
        let server = self.server(&hop)?;
        self.follow_life(&server);
        let mut grant = None;
        if hop.matched.needs_owner() {
            let (slice, key) = self.slice_of(&hop)?;
            self.load.count(&slice, key);
            grant = Some(self.grant(slice)?);
        } else if self.is_out(&server) {
            return Err(RefusalCode::OutOfService.into());
        }
        match grant {
            Some(grant) if !hop.matched.route.repeatable => {
                self.pass_gate(hop, server, grant).await
            }
            grant => self.pass(hop, server, grant).await,
        }
    }

    async fn pass(
        self: &Arc<Self>,
        hop: HopRequest,
        server: Arc<Announcement>,
        grant: Option<Grant>,
    ) -> Result<Response<Body>, Refusal> {
        let deadline = hop.deadline;
        let outgoing = self.prepare(hop, &server, grant, Some(deadline)).await?;
        let head = attempt::send(self, outgoing).await?;
        let (mut head, passed) = self.examine(head)?;
        match read_ahead(&mut head.answer, BUFFERED as usize).await {
            ReadAhead::Whole(body) => {
                let origin = head.held.origin().clone();
                head.held.end(AttemptOutcome::Answered(head.latency));
                Ok(self.response(passed, &origin, Body::from(body)))
            }
            ReadAhead::Longer(first) => {
                let origin = head.held.origin().clone();
                let body = passing_body(first, head.answer, head.held, head.latency);
                Ok(self.response(passed, &origin, body))
            }
            ReadAhead::Broken => {
                head.held.end(AttemptOutcome::Lost);
                Err(RefusalCode::AnswerLost.into())
            }
        }
    }

    /// Waits for a slot and makes the request ready. The lease is compared with the clock at the
    /// very end, after every wait: a paused holder must find that its lease has lapsed.
    pub(super) async fn prepare(
        self: &Arc<Self>,
        hop: HopRequest,
        server: &Announcement,
        grant: Option<Grant>,
        give_up: Option<Moment>,
    ) -> Result<Outgoing, Refusal> {
        let used = match &grant {
            Some(grant) => Some(
                self.book
                    .enter(&grant.slice, grant.fence)
                    .ok_or_else(|| Refusal::not_owner(None))?,
            ),
            None => None,
        };
        let slot = self.slots.acquire(&hop.matched.route, hop.deadline).await?;
        let origin = Origin::new(hop.attempt, server, grant);
        let exceeded = hop.payload.exceeded();
        let request = self.outgoing(hop, &origin)?;
        if let Some(grant) = &origin.grant
            && self.grant(grant.slice.clone())? != *grant
        {
            return Err(Refusal::not_owner(None));
        }
        Ok(Outgoing {
            request,
            held: HeldSlot::new(self, origin, slot, used),
            deadline: give_up,
            exceeded,
        })
    }

    /// Returns the grant under which this node may serve a slice right now.
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

    /// Asks the backend server to stop an attempt until it confirms, or until it has a new life.
    pub(super) async fn cancel_surely(&self, origin: &Origin) {
        loop {
            if self.link.cancel(origin.address, origin.attempt).await {
                return;
            }
            tokio::time::sleep(CANCEL_PAUSE).await;
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

    pub(super) fn gate(&self) -> MutexGuard<'_, IdempotencyStore> {
        self.gate.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Tells whether the backend server takes no new work.
    fn is_out(&self, server: &Announcement) -> bool {
        let out_since = self.out_since.load(Ordering::Relaxed);
        let now = self.clock.now();
        server.state == ServerState::Draining
            || (out_since != 0 && now.since(Moment(out_since)) > OUT_GRACE)
    }

    fn server(&self, hop: &HopRequest) -> Result<Arc<Announcement>, Refusal> {
        self.view
            .announcement
            .load_full()
            .filter(|server| server.service == hop.matched.service.name)
            .ok_or_else(|| RefusalCode::NotReady.into())
    }

    /// Returns the slice of a request by this node's own table, if the ingress agrees. During a
    /// change of a hot key's slice two tables differ, and only one of the slices is right.
    fn slice_of(&self, hop: &HopRequest) -> Result<(SliceId, KeyHash), Refusal> {
        let routing = self.view.routing.load();
        let found = hop.slice_in(&routing);
        match found {
            Some(found) if hop.slice.as_ref().is_none_or(|slice| *slice == found.0) => Ok(found),
            _ => Err(Refusal::not_owner(None)),
        }
    }
}
