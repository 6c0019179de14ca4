//! Serves jobs at the backend server beside the node.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use quetzalrack_core::ids::NodeName;
use quetzalrack_core::ids::ServiceName;
use quetzalrack_core::ids::ZoneName;
use quetzalrack_core::time::Moment;
use quetzalrack_core::traffic::poison::TrialVerdict;
use quetzalrack_mesh::model::HostSettings;
use quetzalrack_mesh::model::KeyRange;
use quetzalrack_mesh::model::PlatformBounds;
use quetzalrack_mesh::model::ServerIncarnation;
use quetzalrack_mesh::model::ServerNotice;
use quetzalrack_mesh::ownership::NodeLoad;
use quetzalrack_mesh::traffic::KeyCounter;
use quetzalrack_mesh::traffic::OwnerHint;
use quetzalrack_mesh::traffic::RefusalReason;
use quetzalrack_mesh::traffic::admission::Admission;
use quetzalrack_mesh::traffic::admission::ColdRate;
use quetzalrack_mesh::traffic::notices::NoticeTracker;
use quetzalrack_platform::request::InvalidHeader;
use tokio::sync::Notify;

use super::admission_queue::AdmissionQueue;
use super::admission_queue::Slot;
use super::server_client::EndSign;
use super::server_client::ServerClient;
use super::trials::poison_refusal;
use crate::clock;
use crate::metrics::Metrics;
use crate::shared::Board;
use crate::shared::NodeView;
use crate::shared::ServerView;
use crate::shared::TrafficReport;
use crate::traffic::job::Job;
use crate::traffic::outcome::AttemptReport;
use crate::traffic::outcome::LostReason;
use crate::traffic::outcome::Outcome;
use crate::traffic::suspects::Suspects;
use crate::traffic::wire::ActiveCounter;

/// When a caller may retry if the backend server here is not usable.
const RETRY_AFTER_UNUSABLE: Duration = Duration::from_millis(300);
/// The share of the allowed excess over a cold server's rate that is used for starting requests;
/// the rest covers requests that arrive in bunches.
const COLD_EXCESS_SHARE: f64 = 0.6;
/// How long a server is treated as cold after the evacuation of its zone ends, unless its heartbeat
/// reports a longer time: a little more than one heartbeat interval.
const COLD_AFTER_EVACUATION: Duration = Duration::from_millis(1_500);

/// Serves jobs at the backend server beside the node.
pub(in crate::traffic) struct Egress {
    pub(super) board: Arc<Board>,
    pub(super) metrics: Arc<Metrics>,
    pub(super) node_name: NodeName,
    service: ServiceName,
    zone: ZoneName,
    bounds: PlatformBounds,
    pub(super) client: ServerClient,
    pub(super) queue: Rc<AdmissionQueue>,
    key_counter: RefCell<KeyCounter>,
    slowdown_percent: Cell<u16>,
    /// When requests to a cold server were last logged.
    pub(super) cold_logged: Cell<Moment>,
    zone_evacuated: Cell<bool>,
    incarnation: RefCell<Option<ServerIncarnation>>,
    pub(super) notices: RefCell<NoticeTracker>,
    /// The last header of the server that could not be used.
    pub(super) logged_invalid: RefCell<Option<InvalidHeader>>,
    pub(super) suspects: Rc<Suspects>,
    /// Notified when a response did not come in time.
    pub(super) timed_out: Notify,
    running: ActiveCounter,
    closed: Cell<bool>,
}

impl Egress {
    pub(in crate::traffic) fn new(
        board: Arc<Board>,
        metrics: Arc<Metrics>,
        host: &HostSettings,
        suspects: Rc<Suspects>,
    ) -> Rc<Self> {
        let egress = Rc::new(Self {
            board,
            metrics,
            node_name: host.node.clone(),
            service: host.service.clone(),
            zone: host.zone.clone(),
            bounds: host.bounds,
            client: ServerClient::new(),
            queue: Rc::default(),
            key_counter: RefCell::default(),
            slowdown_percent: Cell::new(100),
            cold_logged: Cell::default(),
            zone_evacuated: Cell::default(),
            incarnation: RefCell::default(),
            notices: RefCell::default(),
            logged_invalid: RefCell::default(),
            suspects,
            timed_out: Notify::new(),
            running: ActiveCounter::default(),
            closed: Cell::default(),
        });
        egress.queue.update(|admission| {
            admission.set_link(host.link);
            admission.cold_limiter().block_first_window(clock::now());
            admission.set_started(clock::now());
        });
        tokio::task::spawn_local(Rc::clone(&egress.queue).dispatch_periodically());
        tokio::task::spawn_local(Rc::clone(&egress).check_after_timeouts());
        egress
    }

    /// Serves a job. Dropping the future cancels the job, also at the server. `told` is what the node that
    /// sends the job knows of the server.
    pub(in crate::traffic) async fn serve(
        &self,
        job: &Job,
        told: Option<&ServerNotice>,
    ) -> AttemptReport {
        let _active = self.running.enter();
        if let Some(told) = told {
            self.record_peer_notice(told);
        }
        let outcome = self.run(job).await;
        self.record_outcome(job, &outcome);
        let view = self.board.view();
        let refused = job.key.filter(|_| matches!(outcome, Outcome::NotRun(..)));
        let owner = refused.and_then(|key| OwnerHint::of(&view.directory, &job.service, key));
        // A node that is wrong about the server is corrected.
        let notice = self.notices.borrow().notice();
        let notice = notice.filter(|notice| told.is_some() || !notice.is_empty());
        AttemptReport {
            outcome,
            load: Some(self.load()),
            owner,
            notice,
            ends: self.suspects.ends(&job.content),
        }
    }

    /// Returns how many jobs are in progress.
    pub(in crate::traffic) fn running_count(&self) -> usize {
        self.running.count()
    }

    /// Refuses further jobs of other nodes.
    pub(in crate::traffic) fn close(&self) {
        self.closed.set(true);
    }

    pub(in crate::traffic) fn is_closed(&self) -> bool {
        self.closed.get()
    }

    /// Collects the load report for the control thread.
    pub(in crate::traffic) fn report(&self) -> TrafficReport {
        let view = self.board.view();
        self.update_admission(&view);
        let now = clock::now();
        self.log_cold_requests(now, &view);
        let serving = view.server.as_ref().map(|server| server.serving.as_slice());
        let held: Vec<KeyRange> = serving
            .unwrap_or_default()
            .iter()
            .map(|(held, _)| held.keys)
            .collect();
        self.metrics.set_opened(self.client.opened_count());
        TrafficReport {
            load: self.load(),
            key_loads: match held.is_empty() {
                true => Vec::new(),
                false => self.key_counter.borrow_mut().loads(now, &held),
            },
            server_gone: self.client.refused_at().is_some(),
            server_leaving: self.notices.borrow().leaving().cloned(),
        }
    }

    async fn run(&self, job: &Job) -> Outcome {
        let view = self.board.view();
        self.update_admission(&view);
        if let Err(reason) = self.usable_server(&view, job) {
            return Outcome::NotRun(reason, RETRY_AFTER_UNUSABLE);
        }
        if let Some(key) = job.key {
            self.key_counter
                .borrow_mut()
                .count(key, self.queue.service_time(&job.route));
        }
        let mut slot = match self.acquire_slot(job).await {
            Ok(slot) => slot,
            Err((reason, retry_after)) => return Outcome::NotRun(reason, retry_after),
        };
        // While the job waited, the server may have announced that it is leaving, or lost the key.
        let view = self.board.view();
        self.update_admission(&view);
        let server = match self.usable_server(&view, job) {
            Ok(server) => server,
            Err(reason) => return Outcome::NotRun(reason, RETRY_AFTER_UNUSABLE),
        };
        let sent = clock::now();
        let run = self.begin_run(&server.incarnation, job);
        let may_write = || !self.suspects.suspicion(&job.content).is_poison();
        let (outcome, feedback) = self
            .client
            .send(
                server.address,
                &server.incarnation.id,
                job,
                self.queue.as_ref(),
                &may_write,
            )
            .await;
        match outcome {
            Outcome::Answered(_) => run.answered(),
            Outcome::NotRun(..) => run.not_run(),
            Outcome::Lost(LostReason::TimedOut) => self.timed_out.notify_one(),
            Outcome::Lost(_) if feedback.broke => {
                let (address, incarnation) = (server.address, &server.incarnation);
                self.check_server(address, incarnation, clock::now()).await;
            }
            Outcome::Lost(_) => {}
        }
        if let Some(headers) = feedback.own {
            self.record_notice(&server.incarnation, sent, headers);
            let limit = self.notices.borrow().limit();
            self.queue.update(|admission| admission.set_limit(limit));
        }
        if let Some(percent) = feedback.slowdown_percent {
            self.slowdown_percent
                .set(u16::try_from(percent).unwrap_or(u16::MAX));
        }
        if let Outcome::Answered(response) = &outcome {
            slot.set_response(clock::now().since(sent), response.body().len());
        }
        outcome
    }

    /// Waits for a slot at the server. A request whose content is suspected takes none while it has to wait for
    /// another suspect.
    async fn acquire_slot(&self, job: &Job) -> Result<Slot, (RefusalReason, Duration)> {
        loop {
            self.wait_for_trial(job).await?;
            let slot = self.queue.acquire(job).await?;
            match self.suspects.try_send(&job.content) {
                TrialVerdict::Send => return Ok(slot),
                TrialVerdict::Wait => {}
                TrialVerdict::Refuse { certain } => return Err(poison_refusal(certain)),
            }
        }
    }

    /// Returns the server if it may be sent the job now.
    fn usable_server<'a>(
        &self,
        view: &'a NodeView,
        job: &Job,
    ) -> Result<&'a ServerView, RefusalReason> {
        let server = view.server.as_ref().ok_or(RefusalReason::NoServer)?;
        if job.service != self.service {
            return Err(RefusalReason::NoServer);
        }
        if self.client.is_port_closed(server.heartbeat_at) {
            return Err(RefusalReason::Unreachable);
        }
        let is_blocked =
            |admission: &mut Admission| admission.cold_limiter().is_blocked(clock::now());
        if self.queue.query(is_blocked) {
            return Err(RefusalReason::NoDocument);
        }
        let leaving = self.notices.borrow().leaving().is_some();
        if server.draining || leaving || view.intent.evacuated.contains(&self.zone) {
            return Err(RefusalReason::Draining);
        }
        match job.key {
            // Whether the service is divided by key, and so whether the server may run the job, is
            // known only from the document.
            Some(_) if view.intent.config.is_none() => Err(RefusalReason::NoDocument),
            Some(key) if view.is_keyed(&self.service) => {
                let holds = server.holds(clock::now(), key);
                holds.then_some(server).ok_or(RefusalReason::NotOwner)
            }
            _ => Ok(server),
        }
    }

    /// Updates the admission with what is known of the server.
    fn update_admission(&self, view: &NodeView) {
        let Some(server) = &view.server else {
            return;
        };
        self.notices
            .borrow_mut()
            .set_server(&server.incarnation, server.ran_before);
        let now = clock::now();
        let evacuated = view.intent.evacuated.contains(&self.zone);
        let returned = self.zone_evacuated.replace(evacuated) && !evacuated;
        let previous = self.incarnation.replace(Some(server.incarnation.clone()));
        let restarted = previous.as_ref() != Some(&server.incarnation);
        if let Some(previous) = previous.filter(|_| restarted) {
            self.record_end(&previous, EndSign::Replaced);
        }
        let limit = self.notices.borrow().limit();
        let rate = self.cold_rate(view);
        let maybe_restarted = self.client.maybe_restarted(server.heartbeat_at);
        self.queue.update(|admission| {
            admission.set_slots(server.slots);
            admission.set_limit(limit);
            let cold = admission.cold_limiter();
            cold.set_rate(rate);
            cold.set_maybe_restarted(maybe_restarted);
            if restarted {
                cold.set_cold_until(server.cold_until);
            } else if returned {
                cold.set_cold_until(server.cold_until.max(now + COLD_AFTER_EVACUATION));
            } else if server.cold_until > now {
                cold.extend_cold(server.cold_until);
            }
        });
    }

    fn cold_rate(&self, view: &NodeView) -> ColdRate {
        let config = view.intent.config.as_ref();
        let Some(service) = config.and_then(|config| config.services.get(&self.service)) else {
            return ColdRate::Unknown;
        };
        let Some(rate) = service.cold_rate else {
            return ColdRate::Unlimited;
        };
        // The limit applies to any period of one second, so the average rate may slightly exceed
        // the configured rate.
        let excess = rate * (self.bounds.cold_factor - 1.0) + self.bounds.cold_slack;
        ColdRate::PerSecond {
            begun: rate + excess * COLD_EXCESS_SHARE,
            most: rate + excess,
        }
    }

    pub(super) fn load(&self) -> NodeLoad {
        let (running, waiting) = self.queue.request_counts();
        let view = self.board.view();
        let slots = self.queue.query(|admission| admission.effective_slots());
        let slots = view.server.as_ref().map_or(0, |_| slots);
        NodeLoad {
            requests: u16::try_from(running + waiting).unwrap_or(u16::MAX),
            limit: u16::try_from(slots).unwrap_or(u16::MAX),
            slowdown_percent: self.slowdown_percent.get(),
            request_ms: u16::try_from(self.queue.weighted_time().as_millis()).unwrap_or(u16::MAX),
            backlog_ms: u16::try_from(self.queue.link_time(clock::now()).as_millis())
                .unwrap_or(u16::MAX),
        }
    }
}

impl LostReason {
    /// Returns whether the job's deadline has passed.
    pub(in crate::traffic) fn is_timeout(self) -> bool {
        self == Self::TimedOut
    }
}
