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
use quetzalrack_mesh::traffic::notices::NoticeTracker;
use quetzalrack_platform::request::InvalidHeader;
use tokio::sync::Notify;

use super::admission_queue::AdmissionQueue;
use super::server_client::ServerClient;
use super::trials::poison_refusal;
use crate::budget::ProcessBudget;
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

/// Serves jobs at the backend server beside the node.
pub(in crate::traffic) struct Egress {
    pub(super) board: Arc<Board>,
    pub(super) metrics: Arc<Metrics>,
    pub(super) node_name: NodeName,
    pub(super) service: ServiceName,
    pub(super) zone: ZoneName,
    pub(super) bounds: PlatformBounds,
    pub(super) client: ServerClient,
    pub(super) queue: Rc<AdmissionQueue>,
    key_counter: RefCell<KeyCounter>,
    slowdown_percent: Cell<u16>,
    /// When requests to a cold server were last logged.
    pub(super) cold_logged: Cell<Moment>,
    pub(super) zone_evacuated: Cell<bool>,
    pub(super) incarnation: RefCell<Option<ServerIncarnation>>,
    pub(super) notices: RefCell<NoticeTracker>,
    /// The last header of the server that could not be used.
    pub(super) logged_invalid: RefCell<Option<InvalidHeader>>,
    pub(super) suspects: Rc<Suspects>,
    /// Notified when a response did not come in time.
    pub(super) timed_out: Notify,
    running: ActiveCounter,
}

impl Egress {
    pub(in crate::traffic) fn new(
        board: Arc<Board>,
        metrics: Arc<Metrics>,
        host: &HostSettings,
        suspects: Rc<Suspects>,
        budget: &Rc<ProcessBudget>,
    ) -> Rc<Self> {
        let egress = Rc::new(Self {
            board,
            metrics,
            node_name: host.node.clone(),
            service: host.service.clone(),
            zone: host.zone.clone(),
            bounds: host.bounds,
            client: ServerClient::new(budget),
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
            age: None,
        }
    }

    /// Returns how many jobs are in progress.
    pub(in crate::traffic) fn running_count(&self) -> usize {
        self.running.count()
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
        let acquired = tokio::select! {
            biased;
            acquired = self.acquire_slot(job) => acquired,
            () = self.wait_last_sending(job) => {
                Err((RefusalReason::NodeAway, RETRY_AFTER_UNUSABLE))
            }
        };
        let mut slot = match acquired {
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
        let refusal = || {
            let is_poison = self.suspects.suspicion(&job.content).is_poison();
            let late = self.shutdown_refusal(clock::now(), job);
            match is_poison {
                true => Some(poison_refusal(true)),
                false => late.map(|reason| (reason, RETRY_AFTER_UNUSABLE)),
            }
        };
        let (outcome, feedback) = self
            .client
            .send(
                server.address,
                &server.incarnation.id,
                job,
                self.queue.as_ref(),
                &refusal,
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

    /// Returns the server if it may be sent the job now.
    fn usable_server<'a>(
        &self,
        view: &'a NodeView,
        job: &Job,
    ) -> Result<&'a ServerView, RefusalReason> {
        let server = view.server.as_ref().ok_or(RefusalReason::NoServer)?;
        if let Some(reason) = self.shutdown_refusal(clock::now(), job) {
            return Err(reason);
        }
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
